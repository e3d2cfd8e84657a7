"""Tests of frames and header blocks between nodes."""

from hypothesis import given
from hypothesis import strategies
from testtools import ExpectedException
from testtools import TestCase

from flamingosail.errors import CodecError
from flamingosail.proxy.hop import Call
from flamingosail.proxy.hop import encode_frame
from flamingosail.proxy.hop import FrameBuffer
from flamingosail.proxy.hop import HeaderBlocks
from flamingosail.proxy.hop import MAX_BLOCKS
from flamingosail.proxy.hop import MAX_FRAME_BYTES
from flamingosail.proxy.hop import Ping
from flamingosail.proxy.overload import LoadReport


def make_call(body: bytes = b"") -> Call:
    """Return a call with all fields set."""
    return Call(
        stream=3,
        request_id=b"a",
        service="histbook",
        line=b"GET / HTTP/1.1\r\n",
        block=0,
        head=b"Host: h\r\n",
        body=body,
        left_ms=100,
        idempotent=True,
        origin=9,
        rank=2,
        repeat=False,
    )


class FrameTest(TestCase):
    """Guards against frames that are cut, joined or made up."""

    def test_messages_survive_any_cut_of_the_stream(self):
        sent = [make_call(b"x" * 300), Ping(7, LoadReport("s", 3, 1))]
        data = b"".join(map(encode_frame, sent))
        for step in (1, 3, 7, 100, len(data)):
            buffer = FrameBuffer()
            seen = []
            for start in range(0, len(data), step):
                seen += buffer.feed(data[start : start + step])
            self.assertEqual(sent, seen)

    def test_a_frame_that_is_too_long_is_an_error(self):
        with ExpectedException(CodecError):
            FrameBuffer().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))

    @given(strategies.binary(min_size=1, max_size=200))
    def test_garbage_is_an_error_and_nothing_else(self, data):
        buffer = FrameBuffer()
        try:
            buffer.feed(len(data).to_bytes(4, "big") + data)
        except CodecError:
            return
        self.assertEqual(b"", bytes(buffer.buffer))


class HeaderBlocksTest(TestCase):
    """Guards against header lines of another request."""

    def setUp(self):
        super().setUp()
        self.sender, self.receiver = HeaderBlocks(), HeaderBlocks()

    def carry(self, head: bytes) -> bytes:
        return self.receiver.unpack(*self.sender.pack(head))

    def test_lines_cross_once(self):
        head = b"Host: h\r\nAccept: */*\r\n"
        self.assertEqual(head, self.carry(head))
        self.assertEqual((1, b""), self.sender.pack(head))
        self.assertEqual(head, self.carry(head))

    def test_an_answer_without_lines_is_no_unknown_block(self):
        """An empty block was taken for one that had been sent before."""
        self.assertEqual(b"", self.carry(b""))
        self.assertEqual(b"", self.carry(b""))

    def test_lines_that_all_differ_are_bounded_and_whole(self):
        for number in range(3 * MAX_BLOCKS):
            head = b"X: %d\r\n" % number
            self.assertEqual(head, self.carry(head))
        self.assertEqual(MAX_BLOCKS, len(self.receiver.blocks))

    def test_an_unknown_block_is_an_error(self):
        with ExpectedException(CodecError):
            self.receiver.unpack(4, b"")
