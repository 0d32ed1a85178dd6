#!/usr/bin/env python3
# Regenerates the fixed corpora: short inputs of each kind, written by hand after the published formats.
import os, struct, base64, json
corpus_dir = os.path.join(os.path.dirname(os.path.abspath(__file__)), "corpus")
def put(target, name, data):
    os.makedirs(os.path.join(corpus_dir, target), exist_ok=True)
    open(os.path.join(corpus_dir, target, name), "wb").write(data)
def field(number, value):
    if isinstance(value, int):
        return varint(number << 3) + varint(value)
    return varint(number << 3 | 2) + varint(len(value)) + value
def varint(n):
    out = b""
    while n > 127: out, n = out + bytes([n & 127 | 128]), n >> 7
    return out + bytes([n])
def frame(kind, flags, stream, body):
    return struct.pack(">I", len(body))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + body
def grpc(body): return b"\0" + struct.pack(">I", len(body)) + body
entry = lambda k, v, i: {"LockIndex": 0, "Key": k, "Flags": 0, "Value": v and base64.b64encode(v).decode(), "ModifyIndex": i}
put("entries", "two", json.dumps([entry("h/a", b'{"id":"a"}', 4), entry("h/b", None, 7)]).encode())
put("entries", "empty", b"[]")
put("entries", "long", json.dumps([entry("h/a", b"x" * 600, 4), entry("h/b", b"d", 5)]).encode())
put("entries", "edge", json.dumps([entry("h/a", b"x" * n, n) for n in (255, 256, 257, 260, 264)]).encode())
put("entries", "odd", b'[{"Key":"a","ModifyIndex":1,"X":{"Key":[1,{"Value":"\\u00e9"}]},"Value":"%%"}]')
put("answer", "sized", b"HTTP/1.1 200 OK\r\nX-Consul-Index: 12\r\nContent-Length: 2\r\n\r\n[]")
put("answer", "long_head", b"HTTP/1.1 200 OK\r\nX: " + b"y" * 600 + b"\r\n\r\nbody")
put("answer", "edge_head", b"HTTP/1.1 200 OK\r\nX: " + b"y" * 489 + b"\r\n\r\nbody")
put("answer", "long_chunk", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;" + b"x" * 600 + b"\r\nab\r\n0\r\n\r\n")
put("answer", "chunked", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n[1\r\n1\r\n]\r\n0\r\nT: x\r\n\r\n")
put("answer", "early", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
put("answer", "open", b"HTTP/1.0 200 OK\r\n\r\nto the end")
kv = lambda k, v, r: field(1, k) + field(3, r) + field(5, v)
event = lambda gone, k, v, r: field(11, (field(1, 1) if gone else b"") + field(2, kv(k, v, r)))
head = field(1, field(3, 9))
watch_message = head + event(False, b"/h/a", b"r", 5) + event(False, b"/h/b", b"d", 6) + event(True, b"/h/a", b"", 7)
put("follower", "words", bytes([len(watch_message)]) + watch_message + bytes([len(watch_message)]) + watch_message)
page = field(1, field(3, 9)) + field(2, kv(b"/h/a", b"r", 5)) + field(2, kv(b"/h/b", b"{", 6)) + field(4, 2)
answer = b"\x88\x5f\x10application/grpc"
frames = (frame(4, 0, 0, b"") + frame(4, 1, 0, b"") + frame(1, 4, 1, answer) + frame(0, 0, 1, grpc(page)) +
          frame(1, 5, 1, b"\x40\x0bgrpc-status\x010") + frame(1, 4, 3, answer) +
          frame(0, 0, 3, grpc(head + field(3, 1)) + grpc(watch_message)) + frame(6, 0, 0, b"12345678") + frame(3, 0, 3, b"\0\0\0\7"))
put("follower", "read_and_watch", frames)
put("follower", "goaway", frame(4, 0, 0, b"") + frame(7, 0, 0, b"\0\0\0\1\0\0\0\0bye"))
put("follower", "huge", frame(4, 0, 0, b"") + frame(1, 4, 1, answer) + frame(0, 0, 1, b"\0\x7f\xff\xff\xffxx"))
put("known_list", "foreign", b"not ours\n")
put("known_list", "torn", b"pineridge-list 1 7 1000 1 7\n/hosts/\n8 4\n/hosts/a{}{}\nxxh64 0000000000000000\n")
put("known_list", "sized", b"pineridge-list 1 7 1000 99999 7\n/hosts/\n99999999 4\n")
proxy_v2_signature = b"\r\n\r\n\0\r\nQUIT\n"
for name, data in {
    "one": b"PROXY TCP4 1.2.3.4 5.6.7.8 65535 0\r\n*1\r\n", "six": b"PROXY TCP6 2001:db8::9 ::1 1 80\r\n",
    "unknown": b"PROXY UNKNOWN\r\n", "two": proxy_v2_signature + b"\x21\x11\0\x0c" + bytes(range(1, 13)) + b"*4\r\n",
    "two_six": proxy_v2_signature + b"\x21\x21\0\x24" + bytes(36), "local": proxy_v2_signature + b"\x20\0\0\0",
    "long": proxy_v2_signature + b"\x21\x11\x0b\xb8" + b"x" * 50, "cut": proxy_v2_signature[:9], "plain": b"*4\r\n$5\r\nQ.ASK\r\n",
    "port": b"PROXY TCP4 1.2.3.4 5.6.7.8 70000 0\r\n", "endless": b"PROXY " + b"a" * 120,
    "words": b"PROXY TCP4  1.2.3.4 5.6.7.8 1 2\r\n", "only": b"PROXY \r\n"}.items():
    put("proxy", name, data)
