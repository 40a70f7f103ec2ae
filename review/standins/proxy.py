"""Passes the connections of one port on to another one.

    proxy.py PORT TARGET_PORT LOG

SIGUSR1: it resets seven of every ten open connections, towards both sides."""

import signal
import socket
import struct
import sys
import threading
import time

PORT, TARGET, LOG = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
log = open(LOG, "a", buffering=1)
lock = threading.Lock()
pairs = []
was_reset = set()


def copy(source, target, pair):
    try:
        while True:
            data = source.recv(65536)
            if not data:
                break
            target.sendall(data)
        if pair not in was_reset:
            target.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def serve(client):
    server = socket.create_connection(("127.0.0.1", TARGET))
    for sock in (client, server):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    pair = (client, server)
    with lock:
        pairs.append(pair)
    back = threading.Thread(target=copy, args=(server, client, pair), daemon=True)
    back.start()
    copy(client, server, pair)
    back.join()
    with lock:
        pairs.remove(pair)
    client.close()
    server.close()


def reset(*_):
    threading.Thread(target=reset_most, daemon=True).start()


def reset_most():
    with lock:
        chosen = [pair for number, pair in enumerate(pairs) if number % 10 < 7]
        count = len(pairs)
        was_reset.update(chosen)
        for pair in chosen:
            for sock in pair:
                # The copying threads end, and closing the socket then resets the connection.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
    log.write("%.3f proxy of port %d resets %d of %d connections\n" % (
        time.time(), PORT, len(chosen), count))


def main():
    signal.signal(signal.SIGUSR1, reset)
    listener = socket.create_server(("127.0.0.1", PORT), backlog=256)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
