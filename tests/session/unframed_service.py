"""A plain service whose answers have neither a length nor chunks."""

import socket
import threading


class UnframedService:
    """Ends each answer with its connection. It may crash first: its port then refuses."""

    def __init__(self, answer, crashes=False):
        self.answer, self.crashes, self.runs = answer, crashes, 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while self.listener.fileno() >= 0:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            with caller:
                self.handle(caller)

    def handle(self, caller):
        request = b""
        while b"\r\n\r\n" not in request:
            part = caller.recv(65536)
            if not part:
                return
            request += part
        if request.startswith(b"GET"):
            caller.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        self.runs += 1
        caller.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + self.answer)
        if self.crashes:
            self.close()

    def close(self):
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # Already closed by its crash.
        self.listener.close()
