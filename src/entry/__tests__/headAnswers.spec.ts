import { expect } from 'chai'
import { ByteBudget } from '../../common/byteBudget.js'
import { AnswerOrigin, ReadState, ResponseReader } from '../responseReader.js'

const HEAD = Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n')

function reader(isHead: boolean, origin = AnswerOrigin.Own): ResponseReader {
  return new ResponseReader(() => origin, new ByteBudget(1024).open(), isHead)
}

describe('answer to a request for the head only', () => {
  // It was waited for the body until the route's timeout, which held a slot and ended in 504.
  it('is complete without the body whose length it states', () => {
    const head = reader(true)
    expect(head.read(HEAD)).to.equal(ReadState.Complete)
    expect(head.answer?.body.length).to.equal(0)
    expect(head.isReusable).to.equal(true)
  })

  // Guards against bodies of other requests that are taken for the next answer.
  it('is complete with the body for any other request only', () => {
    const get = reader(false)
    expect(get.read(HEAD)).to.equal(ReadState.Partial)
    expect(get.read(Buffer.from('hello'))).to.equal(ReadState.Complete)
  })

  // Guards against the answer of an earlier request that is given to this one.
  it('is not that of an earlier request, whose body is skipped', () => {
    const head = reader(true, AnswerOrigin.Other)
    expect(head.read(HEAD)).to.equal(ReadState.Partial)
    expect(head.read(Buffer.from('hello'))).to.equal(ReadState.Partial)
  })
})
