"""iSCSI (RFC 7143) as far as the cases need it: a session of one connection, reads and writes with immediate data."""
import asyncio
import struct

GOOD, CHECK_CONDITION, BUSY, TASK_SET_FULL = 0x00, 0x02, 0x08, 0x28
LOGIN_REQUEST, LOGIN_RESPONSE = 0x03, 0x23
COMMAND, RESPONSE, DATA_IN = 0x01, 0x21, 0x25
TASK_REQUEST, TASK_RESPONSE = 0x02, 0x22
NOP_OUT, NOP_IN = 0x00, 0x20
LOGOUT_REQUEST, LOGOUT_RESPONSE = 0x06, 0x26
MAX_SEGMENT = 262144
ANSWERS = {"HeaderDigest": "None", "DataDigest": "None", "MaxConnections": "1", "InitialR2T": "Yes",
           "ImmediateData": "Yes", "MaxOutstandingR2T": "1", "DataPDUInOrder": "Yes", "DataSequenceInOrder": "Yes",
           "ErrorRecoveryLevel": "0", "iSCSIProtocolLevel": "1", "AuthMethod": "None"}


def pdu(header, data=b""):
    header = bytearray(header)
    header[5:8] = len(data).to_bytes(3, "big")
    return bytes(header) + data + bytes(-len(data) % 4)


async def read_pdu(reader):
    """Returns the header and the data segment of the next PDU."""
    header = await reader.readexactly(48)
    length = int.from_bytes(header[5:8], "big")
    data = await reader.readexactly(header[4] * 4 + length + -length % 4)
    return header, data[header[4] * 4:header[4] * 4 + length]


def pairs(data):
    return [part.decode().split("=", 1) for part in data.split(b"\0") if b"=" in part]


class Target:
    """The target's side of one connection. `handle` gets each command and answers it with `respond`; `abort` gets the
    tag of each task to be aborted, and a function that answers the request."""

    def __init__(self, reader, writer, handle, abort):
        self.reader, self.writer, self.handle, self.abort = reader, writer, handle, abort
        self.stat_sn, self.exp_cmd_sn, self.open = 1, 0, True

    def header(self, opcode, flags, itt):
        header = bytearray(48)
        header[0], header[1] = opcode, flags
        header[16:20] = itt
        return header

    def send(self, header, data=b"", status=True):
        if not self.open:
            return
        struct.pack_into(">III", header, 24, self.stat_sn, self.exp_cmd_sn, (self.exp_cmd_sn + 127) & 0xffffffff)
        if status:
            self.stat_sn += 1
        self.writer.write(pdu(header, data))

    def respond(self, itt, status, data=b""):
        if data:
            header = self.header(DATA_IN, 0x81, itt)
            header[3] = status
            header[20:24] = b"\xff" * 4
            return self.send(header, data)
        header = self.header(RESPONSE, 0x80, itt)
        header[3] = status
        self.send(header)

    async def run(self):
        try:
            while True:
                header, data = await read_pdu(self.reader)
                opcode, itt = header[0] & 0x3f, header[16:20]
                if not header[0] & 0x40:
                    self.exp_cmd_sn = (struct.unpack_from(">I", header, 24)[0] + 1) & 0xffffffff
                if opcode == LOGIN_REQUEST:
                    self.login(header, data)
                elif opcode == COMMAND:
                    self.handle(self, itt, header[32:48], data)
                elif opcode == TASK_REQUEST:
                    self.abort(self, header[20:24], lambda itt=itt: self.send(self.header(TASK_RESPONSE, 0x80, itt)))
                elif opcode == NOP_OUT and itt != b"\xff" * 4:
                    answer = self.header(NOP_IN, 0x80, itt)
                    answer[20:24] = b"\xff" * 4
                    self.send(answer, data)
                elif opcode == LOGOUT_REQUEST:
                    self.send(self.header(LOGOUT_RESPONSE, 0x80, itt))
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open = False
            self.writer.close()

    def login(self, header, data):
        self.exp_cmd_sn = struct.unpack_from(">I", header, 24)[0]
        text = b""
        for key, value in pairs(data):
            if key == "MaxRecvDataSegmentLength":
                text += b"MaxRecvDataSegmentLength=%d\0" % MAX_SEGMENT
            elif key in ("MaxBurstLength", "FirstBurstLength", "DefaultTime2Wait", "DefaultTime2Retain"):
                text += f"{key}={value}\0".encode()
            elif key in ANSWERS:
                text += f"{key}={ANSWERS[key]}\0".encode()
        answer = self.header(LOGIN_RESPONSE, header[1], header[16:20])
        answer[8:14] = header[8:14]
        answer[14:16] = b"\0\1"
        self.send(answer, text + b"TargetPortalGroupTag=1\0")


class Initiator:
    """The initiator's side of a session, with one command at a time."""

    def __init__(self, name, number):
        self.name, self.number, self.cmd_sn, self.itt, self.stat_sn = name, number, 1, 0, 0

    async def login(self, address, port, target):
        self.reader, self.writer = await asyncio.open_connection(address, port)
        header = bytearray(48)
        header[0], header[1] = 0x40 | LOGIN_REQUEST, 0x87
        header[8:14] = b"\x80" + self.number.to_bytes(5, "big")
        struct.pack_into(">II", header, 24, self.cmd_sn, 0)
        text = (f"InitiatorName={self.name}\0SessionType=Normal\0TargetName={target}\0HeaderDigest=None\0"
                f"DataDigest=None\0InitialR2T=Yes\0ImmediateData=Yes\0MaxRecvDataSegmentLength={MAX_SEGMENT}\0"
                "MaxBurstLength=262144\0FirstBurstLength=65536\0")
        self.writer.write(pdu(header, text.encode()))
        answer, _ = await read_pdu(self.reader)
        if answer[0] & 0x3f != LOGIN_RESPONSE or answer[36] != 0:
            raise ConnectionError(f"login refused: {answer[36]}/{answer[37]}")
        self.stat_sn = struct.unpack_from(">I", answer, 24)[0] + 1

    async def command(self, lun, cdb, read_len=0, data=b""):
        """Sends a command and returns its status and the data that was read."""
        self.itt += 1
        header = bytearray(48)
        header[0], header[1] = COMMAND, 0x81 | (0x40 if read_len else 0) | (0x20 if data else 0)
        header[9] = lun
        struct.pack_into(">IIII", header, 16, self.itt, read_len or len(data), self.cmd_sn, self.stat_sn)
        header[32:48] = cdb
        self.cmd_sn += 1
        self.writer.write(pdu(header, data))
        got = b""
        while True:
            answer, segment = await read_pdu(self.reader)
            opcode = answer[0] & 0x3f
            if opcode == NOP_IN:
                if answer[20:24] != b"\xff" * 4:
                    self.pong(answer)
                continue
            self.stat_sn = struct.unpack_from(">I", answer, 24)[0] + 1
            if opcode == DATA_IN:
                got += segment
                if answer[1] & 1:
                    return answer[3], got
            elif opcode == RESPONSE:
                return answer[3], got

    def pong(self, ping):
        header = bytearray(48)
        header[0], header[1] = 0x40 | NOP_OUT, 0x80
        header[8:16] = ping[8:16]
        header[16:20] = b"\xff" * 4
        header[20:24] = ping[20:24]
        struct.pack_into(">II", header, 24, self.cmd_sn, self.stat_sn)
        self.writer.write(pdu(header))


def read16(lba, blocks):
    return struct.pack(">BBQIBB", 0x88, 0, lba, blocks, 0, 0)


def write16(lba, blocks):
    return struct.pack(">BBQIBB", 0x8a, 0, lba, blocks, 0, 0)
