"""Echo servers of a unary gRPC method, to compare libraries.

    python bench/grpc_echo.py h2|grpcio|grpcio-uvloop|ours

`h2`: the h2 library on plain sockets; `grpcio`, `grpcio-uvloop`: the asyncio server of grpcio; `ours`: the program's
own server.  Prints the address and serves until SIGTERM.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys

import uvloop
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import DataReceived, RequestReceived, StreamEnded

PATH = "/inference.GRPCInferenceService/ModelInfer"


async def serve_connection(sock: socket.socket) -> None:
    """Echo the calls of one connection."""
    loop = asyncio.get_running_loop()
    connection = H2Connection(
        H2Configuration(
            client_side=False, header_encoding=None, validate_outbound_headers=False, normalize_outbound_headers=False
        )
    )
    connection.initiate_connection()
    connection.increment_flow_control_window(1 << 24)
    await loop.sock_sendall(sock, connection.data_to_send())
    buffer, bodies = bytearray(65536), dict[int, bytearray]()
    while count := await loop.sock_recv_into(sock, buffer):
        for event in connection.receive_data(bytes(buffer[:count])):
            id_ = event.stream_id if isinstance(event, RequestReceived | DataReceived | StreamEnded) else 0
            if isinstance(event, RequestReceived):
                bodies[id_] = bytearray()
            elif isinstance(event, DataReceived):
                bodies[id_] += event.data
                connection.acknowledge_received_data(event.flow_controlled_length, id_)
            elif isinstance(event, StreamEnded):
                connection.send_headers(id_, [(b":status", b"200"), (b"content-type", b"application/grpc")])
                connection.send_data(id_, bytes(bodies.pop(id_)))
                connection.send_headers(id_, [(b"grpc-status", b"0")], end_stream=True)
        if data := connection.data_to_send():
            await loop.sock_sendall(sock, data)


async def serve_h2() -> None:
    loop = asyncio.get_running_loop()
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(100)
    listener.setblocking(False)
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    tasks = set()
    while True:
        sock, _ = await loop.sock_accept(listener)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tasks.add(loop.create_task(serve_connection(sock)))


async def serve_grpcio() -> None:
    import grpc

    async def echo(request: bytes, _context: object) -> bytes:
        return request

    server = grpc.aio.server()
    service, _, method = PATH[1:].partition("/")
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(service, {method: grpc.unary_unary_rpc_method_handler(echo)}),)
    )
    print(f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}", flush=True)
    await server.start()
    await server.wait_for_termination()


async def serve_kelptrail() -> None:
    from kelptrail.net.grpc_server import GrpcServer, GrpcStream

    def echo(stream: GrpcStream) -> None:
        messages: list[bytes] = []
        stream.on_message = messages.append

        def on_end() -> None:
            stream.send(messages[0])
            stream.finish()

        stream.on_end = on_end

    server = GrpcServer(echo)
    server.listen("127.0.0.1", 0)
    print(server.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    kind = sys.argv[1]
    main = {"h2": serve_h2, "ours": serve_kelptrail}.get(kind, serve_grpcio)()
    asyncio.run(main) if kind == "grpcio" else uvloop.run(main)
