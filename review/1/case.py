"""One of two servers breaks off 5 in 100 of its answers to uploads: it answers before it
has read the whole upload, without a length, and is reset on the way."""

import asyncio
import pathlib
import socket
import struct
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from stand import ID, STAMP, Client, Deployment, Server, main, read_body, route  # noqa: E402

UPLOAD = 24 * 1024 * 1024  # The configuration allows 64 MB.
WHOLE = 4000  # Bytes of each answer.
ONE_IN = 20  # Answers of the faulty server of which one is broken off.
UPLOADS = 160


class PhotoServer(Server):
    """Answers each twentieth upload without a length. With `faulty` it does so after a part
    of the upload, and its connection is reset after half of the answer."""

    faulty, uploads = False, 0

    async def run(self, head, reader, writer):
        method, target, _ = head[0].split(" ")
        if method != "POST":
            return await super().run(head, reader, writer)
        self.uploads += 1
        ident = head[1][ID.lower()]
        if self.uploads % ONE_IN:
            return await super().run(head, reader, writer)
        self.begun.setdefault(ident, []).append(time.monotonic())
        if not self.faulty:
            await read_body(reader, head[1])
        answer = (f"HTTP/1.1 200 OK\r\n{ID}: {ident}\r\n{STAMP}: stamp-{ident}\r\n"
                  "Connection: close\r\n\r\n").encode() + b"b" * WHOLE
        if self.faulty:
            writer.write(answer[:-WHOLE // 2])
            await reader.read(1 << 20)  # A part of the upload.
            # The connection is reset, as when the server ends with unread bytes.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            self.record(f"server {self.ident} answers {ident} with half of {WHOLE} bytes and "
                        "no length; its connection is reset")
        else:
            writer.write(answer)
            await writer.drain()
            self.record(f"server {self.ident} answers {ident} with {WHOLE} bytes and no length, "
                        "and closes")
        raise ConnectionError


async def play(record, folder, trouble):
    PhotoServer.faulty = trouble
    fleet = Deployment(record, folder, ["catalogo", "galeria"],
                       [route("photos", "/photos/", "upload", "galeria")],
                       server_class=PhotoServer)
    broken = []

    async def upload(machine, name):
        for _ in range(UPLOADS):
            client = Client(record, name, machine.ip, fleet.day.caller)
            await client.connect()
            ident = client.send("POST", f"/photos/x?size={WHOLE}", b"p" * UPLOAD)
            answer = await client.answer(ident)
            client.close()
            if 200 <= answer.status < 300 and len(answer.body) != WHOLE:
                broken.append(f"MIXED: {ident} got {answer.status} with a complete body of "
                              f"{len(answer.body)} bytes; the server's has {WHOLE}")

    try:
        await fleet.start()
        await fleet.warm(["/photos/a"])
        await asyncio.sleep(3.5)  # Longer than contact_ms.
        await upload(fleet.machines[1], "client")
        record(f"uploads at the server: {fleet.servers[1].uploads}")
        return broken
    finally:
        fleet.stop()


main(HERE, play)
