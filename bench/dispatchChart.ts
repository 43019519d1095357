/** Renders the latency distributions of the dispatch bench as SVG. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { init } from 'echarts'
import { sortAscending, quantile } from './dispatchStats.js'

/** One curve of the chart. */
export interface Distribution {
  readonly name: string
  /** In milliseconds, in any order. */
  readonly latencies: readonly number[]
}

const WIDTH = 900
const HEIGHT = 520
/** Points per curve. */
const POINT_COUNT = 120
/** End of the x axis, which shows 1 / (1 - quantile) on a logarithmic scale. */
const MAX_INVERSE = 1000
const RESULTS_DIRECTORY = new URL('../../bench/results/', import.meta.url)

/** Writes the chart to `bench/results/<file>` and returns this path. */
export function writeChart(
  file: string,
  title: string,
  distributions: readonly Distribution[],
): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    title: { text: title, textStyle: { fontSize: 14 } },
    legend: { top: 28 },
    grid: { top: 80, left: 70, right: 30, bottom: 55 },
    xAxis: {
      type: 'log',
      min: 1,
      max: MAX_INVERSE,
      name: 'short requests, 1 in N is slower',
      nameLocation: 'middle',
      nameGap: 30,
    },
    yAxis: { type: 'log', name: 'latency, ms', min: 10 },
    series: distributions.map(({ name, latencies }) => ({
      name,
      type: 'line',
      showSymbol: false,
      data: createCurve(latencies),
    })),
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  mkdirSync(RESULTS_DIRECTORY, { recursive: true })
  writeFileSync(new URL(file, RESULTS_DIRECTORY), svg)
  return `bench/results/${file}`
}

function createCurve(latencies: readonly number[]): [number, number][] {
  const sorted = sortAscending(latencies)
  return Array.from({ length: POINT_COUNT }, (_, index) => {
    const inverse = MAX_INVERSE ** (index / (POINT_COUNT - 1))
    return [inverse, quantile(sorted, 1 - 1 / inverse)]
  })
}
