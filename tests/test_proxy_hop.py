"""Tests of framing and header compression between nodes."""

from hypothesis import given
from hypothesis import strategies
from testtools import ExpectedException
from testtools import TestCase

from flamingosail.errors import CodecError
from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.transport.hop import Call
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.proxy.transport.hop import HeaderTable
from flamingosail.proxy.transport.hop import MAX_FRAME_BYTES
from flamingosail.proxy.transport.hop import MAX_TABLE_ENTRIES
from flamingosail.proxy.transport.hop import Ping


def make_call(body: bytes = b"") -> Call:
    """Return a call with all fields set."""
    return Call(
        stream=3,
        request_id=b"a",
        service="histbook",
        request_line=b"GET / HTTP/1.1\r\n",
        head_index=0,
        head=b"Host: h\r\n",
        body=body,
        left_ms=100,
        idempotent=True,
        root_route=9,
        rank=2,
        is_retry=False,
    )


class FrameTest(TestCase):
    """Guards against truncated, merged or invalid frames."""

    def test_messages_survive_any_split_of_the_stream(self):
        sent = [make_call(b"x" * 300), Ping(7, LoadReport("s", 3, 1))]
        data = b"".join(map(encode_frame, sent))
        for step in (1, 3, 7, 100, len(data)):
            buffer = FrameBuffer()
            received = []
            for start in range(0, len(data), step):
                received += buffer.feed(data[start : start + step])
            self.assertEqual(sent, received)

    def test_a_frame_that_is_too_long_is_an_error(self):
        with ExpectedException(CodecError):
            FrameBuffer().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))

    @given(strategies.binary(min_size=1, max_size=200))
    def test_invalid_input_raises_only_codec_errors(self, data):
        buffer = FrameBuffer()
        try:
            buffer.feed(len(data).to_bytes(4, "big") + data)
        except CodecError:
            return
        self.assertEqual(b"", bytes(buffer.buffer))


class HeaderTableTest(TestCase):
    """Guards against delivering the header lines of another request."""

    def setUp(self):
        super().setUp()
        self.sender, self.receiver = HeaderTable(), HeaderTable()

    def transfer(self, head: bytes) -> bytes:
        return self.receiver.unpack(*self.sender.pack(head))

    def test_lines_are_sent_once(self):
        head = b"Host: h\r\nAccept: */*\r\n"
        self.assertEqual(head, self.transfer(head))
        self.assertEqual((1, b""), self.sender.pack(head))
        self.assertEqual(head, self.transfer(head))

    def test_an_empty_header_block_is_not_an_unknown_index(self):
        """An empty block was mistaken for the index of one sent before."""
        self.assertEqual(b"", self.transfer(b""))
        self.assertEqual(b"", self.transfer(b""))

    def test_the_table_is_bounded_if_all_lines_differ(self):
        for number in range(3 * MAX_TABLE_ENTRIES):
            head = b"X: %d\r\n" % number
            self.assertEqual(head, self.transfer(head))
        self.assertEqual(MAX_TABLE_ENTRIES, len(self.receiver.entries))

    def test_an_unknown_index_is_an_error(self):
        with ExpectedException(CodecError):
            self.receiver.unpack(4, b"")
