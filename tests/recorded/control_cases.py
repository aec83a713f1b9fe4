"""Drawn sequences through the modules of control, and their outputs by time in a neutral form."""

from __future__ import annotations

import copy
import heapq
import json
import math
import random
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from tests.recorded import control_adapter as adapter
from tests.recorded.control_adapter import Neutral, number

DEPLOYMENT = "drawn"
GRAIN = 64 * 1024  # bytes, so that sizes meet bounds exactly
Log = list[Neutral]
Case = Callable[[], Log]


# Distribution: a source, relays and subscribers over links that fail


class Network:
    """A source, relays and subscribers in virtual time, with faults that are drawn."""

    def __init__(
        self,
        seed: int,
        relays: int,
        subscribers: int,
        most: int | None = None,
        loss: float = 0.05,
        size: int = 40,
        timing: dict[str, float] | None = None,
    ) -> None:
        self.rng, self.now, self.loss = random.Random(seed), 0.0, loss
        self.log: Log = []
        self.size = size
        self.epoch = 100
        self.source = adapter.PlainSource(DEPLOYMENT, "source", self.epoch, None)
        self.keys = [f"nodes/n{count:03d}" for count in range(30)] + ["settings"]
        self.keys += [f"settings/part{count}" for count in range(8)]
        self.relays: dict[str, adapter.PlainRelay] = {}
        self.subscribers: dict[str, adapter.PlainSubscriber] = {}
        names = [f"relay{count}" for count in range(relays)]
        for place, name in enumerate(names):
            upstream = [["source"], names[:place]] if place and place % 2 else [["source"]]
            self.relays[name] = adapter.PlainRelay(DEPLOYMENT, name, upstream, seed * 100 + place, most)
        cut = max(1, relays // 2)
        for place in range(subscribers):
            tiers = [part for part in (names[:cut], names[cut:]) if part]
            if place % 2 and len(tiers) > 1:
                tiers.reverse()
            name = f"front{place}"
            self.subscribers[name] = adapter.PlainSubscriber(
                DEPLOYMENT, name, tiers, seed * 1000 + place, timing or {}
            )
        self.paused: dict[str, float] = {}  # server: until when it does not answer or step
        self.lagging: dict[str, float] = {}  # relay: until when it answers, but does not step
        self.queue: list[tuple[float, int, str, list[tuple[int, bytes | None]]]] = []
        self.count = 0
        for name in [*self.relays, *self.subscribers]:
            self.wake(0.0, name, [])

    def wake(self, when: float, name: str, answers: list[tuple[int, bytes | None]]) -> None:
        """Let a machine step at a time, with what arrives then."""
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, name, answers))

    def note(self, *words: Neutral) -> None:
        """Add an entry to the log."""
        self.log.append([number(self.now), *words])

    def draw_value(self, key: str) -> bytes | None:
        """A value, seldom one that is no JSON, or none as the key goes."""
        rng, drawn = self.rng, self.rng.random()
        if drawn < 0.2:
            return None
        if drawn < 0.25:
            return rng.choice([b"", b"{", b"\xff\xfe", b"nul"])
        if key == "settings":
            return json.dumps({"a": rng.randrange(99), "part1": "whole", "c": [1]}).encode()
        if key.startswith("nodes/"):
            state = rng.choice(["live", "draining", "gone"])
            return json.dumps({"id": key, "state": state, "pad": "x" * rng.randrange(self.size)}).encode()
        return json.dumps(rng.choice([None, 1, 0.25, "é", {"x": [1, 2]}])).encode()

    def change(self, count: int) -> None:
        """Make drawn changes at the source."""
        for _ in range(count):
            key = self.rng.choice(self.keys)
            lane = "nodes" if key.startswith("nodes/") else "settings"
            value = self.draw_value(key)
            self.note("change", key, adapter.plain_value(value), self.source.put(self.now, lane, key, value))

    def fault(self) -> None:
        """One drawn fault or change."""
        drawn = self.rng.random()
        if drawn < 0.55:
            self.change(self.rng.choice([1, 1, 2, 5]))
        elif drawn < 0.80:
            name = self.rng.choice([*self.relays, "source"])
            until = self.now + self.rng.choice([0.5, 3.0, 12.0, 40.0])
            lags = self.rng.random() < 0.4
            self.note("lags" if lags else "silent", name, number(until))
            (self.lagging if lags else self.paused)[name] = until
        elif drawn < 0.90:
            kind = self.rng.choice(["new epoch", "same epoch", "older epoch"])
            self.epoch += {"new epoch": 7, "same epoch": 0, "older epoch": -1}[kind]
            self.note("source anew", kind, self.epoch)
            self.source = adapter.PlainSource(DEPLOYMENT, "source", self.epoch, None)
            self.change(self.rng.randrange(1, 20))
        elif drawn < 0.95:
            self.note("bad change", self.source.put(self.now, "settings", "k" * 129, b"1"))
            self.note("bad change", self.source.put(self.now, "nodes", "", b"1"))
        else:
            self.note("long pause")
            self.now += self.rng.choice([14.0, 16.0])

    def poll(self, name: str, action: Neutral) -> None:
        """Carry a poll to its server and what comes of it back."""
        _, relay, count, data = action
        rng, at = self.rng, self.now
        up = rng.uniform(0.001, 0.05)
        down = rng.uniform(0.001, 0.05)
        if rng.random() < self.loss:
            if rng.random() < 0.5:
                self.wake(at + up, name, [(count, None)])
            return
        if self.paused.get(relay, -1.0) > at:
            if rng.random() < 0.3:
                self.wake(at + up, name, [(count, None)])
            return
        server: adapter.Answering = self.source if relay == "source" else self.relays[relay]
        sent = bytes.fromhex(data)
        if rng.random() < self.loss / 4:
            sent = self.damage(sent)
        reply = server.answer(at + up, sent)
        if reply is None:
            self.note("no reply", relay, server.counts())
            return
        if rng.random() < self.loss / 2:
            reply = self.damage(reply)
        if rng.random() < self.loss / 2:
            down += rng.choice([0.9, 1.2, 3.0])
        answers: list[tuple[int, bytes | None]] = [(count, reply)]
        if rng.random() < self.loss / 2:
            answers = answers * 2
        self.wake(at + up + down, name, answers)
        self.note("reply", relay, name, adapter.plain_reply(DEPLOYMENT, reply))

    def damage(self, data: bytes) -> bytes:
        """A message that is cut off or has a bit changed."""
        place = self.rng.randrange(len(data))
        return self.rng.choice([data[:place], data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :]])

    def run(self, until: float, changes: float) -> Log:
        """Up to ``until``, with a drawn event each ``changes`` seconds in the mean."""
        self.change(60)
        next_fault = self.rng.expovariate(1 / changes)
        shown = 5.0
        while self.queue and self.now < until:
            when, _, name, answers = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            while self.now >= next_fault:
                self.fault()
                next_fault += self.rng.expovariate(1 / changes)
            if self.now >= shown:
                shown += 5.0
                self.show()
            until_then = max(self.paused.get(name, -1.0), self.lagging.get(name, -1.0))
            if until_then > self.now:
                self.wake(until_then, name, answers)
                continue
            machine: adapter.Sender = self.relays[name] if name in self.relays else self.subscribers[name]
            due = machine.due()
            if not answers and self.now < due < math.inf:
                continue  # a wake-up that something else made void
            for action in machine.step(self.now, answers):
                self.note(name, action)
                if action[0] == "poll":
                    self.poll(name, action)
                if action[0] == "entries" and name in self.subscribers:
                    self.judge(name, action)
            self.wake(max(machine.due(), self.now + 0.001), name, [])
        self.show()
        return self.log

    def judge(self, name: str, action: Neutral) -> None:
        """Take what was handed on as in force, or turn it down."""
        subscriber = self.subscribers[name]
        for key, epoch, count, value in action[2]:
            if value in ("", b"{".hex(), b"\xff\xfe".hex(), b"nul".hex()):
                subscriber.turned_down(key, epoch, count, f"{key}: no JSON")
            else:
                subscriber.took(epoch, count, [key])

    def show(self) -> None:
        """Note what each relay and subscriber knows and shows."""
        for name, relay in self.relays.items():
            self.note(name, "summary", relay.summary(self.now), relay.served(self.now), relay.counts())
        for name, subscriber in self.subscribers.items():
            self.note(name, "summary", subscriber.summary(self.now), subscriber.shown(self.now))


def network_case(until: float, changes: float, **values: Any) -> Case:
    """A case of a whole network."""
    return lambda: Network(**values).run(until, changes)


def draw_entries(
    rng: random.Random, epoch: int, first: int, last: int
) -> list[tuple[str, int, int, bytes | None]]:
    """Entries of drawn keys, in the order of their numbers."""
    numbers = sorted(rng.sample(range(first + 1, last + 1), min(last - first, rng.randrange(4))))
    keys = rng.sample("abcdefghij", len(numbers))
    return [(key, epoch, at, rng.choice([None, b"1", b"22"])) for key, at in zip(keys, numbers)]


def replies_case(seed: int, whole: bool) -> Case:
    """A subscriber that is given replies of drawn fields, among them many that do not fit."""

    def run() -> Log:
        rng, log, now = random.Random(seed), [], 0.0
        tiers = [["a", "b"], ["c"], ["d", "e"]]
        subscriber = adapter.PlainSubscriber(DEPLOYMENT, "front", tiers, seed, {}, whole)
        for _ in range(250):
            now = max(now, subscriber.due()) if subscriber.due() < math.inf else now
            actions = subscriber.step(now, [])
            log.append([number(now), actions, number(subscriber.due())])
            polls = [action for action in actions if action[0] == "poll"]
            if not polls:
                continue
            _, _, count, data = polls[-1]
            poll = adapter.plain_poll(DEPLOYMENT, bytes.fromhex(data))
            log.append([number(now), "asks", poll])
            now += rng.uniform(0.0, 1.1)
            drawn = rng.random()
            if drawn < 0.06:
                answers: list[tuple[int, bytes | None]] = [(count, None)]
            elif drawn < 0.10:
                answers = [(count - 1, b"late"), (count, rng.choice([b"", b"\xc1", b"\xc1abcdefgh"]))]
            else:
                epoch = max(5, poll[2]) + rng.choice([0] * 20 + [1, -1])
                answers = [(count, draw_reply(rng, poll, epoch))]
            taken = subscriber.step(now, answers)
            log.append([number(now), taken, number(subscriber.due()), subscriber.summary(now)])
            log.append([number(now), subscriber.shown(now)])
        return log

    return run


def draw_reply(rng: random.Random, poll: Neutral, epoch: int) -> bytes:
    """A reply to a poll; one field in some is not as it should be."""
    _, count, known, positions, _, _ = poll
    parts = []
    for at, after in positions:
        restart = epoch != known or rng.random() < 0.03
        first = at if not restart else rng.randrange(20)
        if rng.random() < 0.02:
            first += 1
        last = first if restart else first + rng.randrange(4)
        if rng.random() < 0.02:
            last -= 1
        last = max(0, last)
        page_after = "" if restart else after
        if rng.random() < 0.02:
            page_after = rng.choice([None, "c"])
        page_to = rng.choice([None, "c", "f", "h"]) if page_after is not None else None
        page = []
        if page_after is not None:
            keys = [key for key in "abcdefghij" if key > page_after and (page_to is None or key <= page_to)]
            chosen = sorted(rng.sample(keys, rng.randrange(len(keys) + 1)))
            values = [None, b"1", b"333", b"4"]
            page = [(key, epoch, rng.randrange(1, last + 2), rng.choice(values)) for key in chosen]
        parts.append(
            {
                "first": first,
                "last": last,
                "floor": rng.randrange(last + 1),
                "changes": [] if restart or last <= first else draw_entries(rng, epoch, first, last),
                "restart": restart,
                "page_after": page_after,
                "page_to": page_to,
                "page": page,
            }
        )
    if rng.random() < 0.02:
        parts.pop()
    refusal = rng.choice([""] * 30 + ["full", "not ready", "older epoch", "behind"])
    deployment = DEPLOYMENT if rng.random() < 0.98 else "another"
    form = 0 if rng.random() < 0.98 else 1
    count += 0 if rng.random() < 0.98 else 1
    more, age = rng.random() < 0.3, rng.choice([0.0, 0.5, 20.0])
    return adapter.reply_bytes(deployment, form, count, "source", epoch, age, refusal, parts, more)


def polls_case(seed: int, most: int | None, keys: int) -> Case:
    """A source that is given polls of drawn fields, by subscribers that come and leave."""

    def run() -> Log:
        rng, log, now = random.Random(seed), [], 0.0
        source = adapter.PlainSource(DEPLOYMENT, "source", 50, most)
        last = 0
        for step in range(300):
            now += rng.choice([0.01, 0.3, 1.0, 1.0, 15.0, 15.5])
            if rng.random() < 0.5:
                for _ in range(rng.randrange(1, 12)):
                    lane = rng.choice(["nodes", "settings"])
                    value = None if rng.random() < 0.3 else bytes(rng.randrange(60))
                    made = source.put(now, lane, f"k{rng.randrange(keys):03d}", value)
                    last = made[1]
                    log.append([number(now), "change", lane, made])
            if step % 100 == 99:
                now += 7300.0  # what is gone is forgotten
            positions = [
                (max(0, last - rng.choice([0, 1, 5, 30, 100, -1])), rng.choice([None, None, "", "k010"]))
                for _ in range(2)
            ]
            data = adapter.poll_bytes(
                deployment=DEPLOYMENT if rng.random() < 0.97 else "another",
                form=0 if rng.random() < 0.97 else 1,
                subscriber=f"front{rng.randrange(9)}",
                count=step,
                epoch=50 + rng.choice([0] * 12 + [-1, 1]),
                positions=positions,
                most=rng.choice([0, 100, 256, 700, 3000, 1 << 20]),
                removals=rng.random() < 0.5,
            )
            if rng.random() < 0.03:
                data = data[:-1]
            reply = source.answer(now, data)
            word = None if reply is None else adapter.plain_reply(DEPLOYMENT, reply)
            code = None if reply is None else adapter.digest(reply)
            log.append([number(now), "reply", word, code, source.counts()])
        return log

    return run


def store_case(seed: int, keys: int) -> Case:
    """The entries of one lane: changes, whole copies, pages, and what is forgotten."""

    def run() -> Log:
        rng, log, now, last = random.Random(seed), [], 0.0, 0
        store = adapter.PlainStore()
        for _ in range(400):
            now += rng.choice([0.0, 0.1, 10.0, 500.0, 3600.0])
            drawn = rng.random()
            if drawn < 0.6:
                last += rng.choice([1, 1, 1, 3, 0])
                value = None if rng.random() < 0.35 else bytes(rng.randrange(40))
                log.append([number(now), store.put(now, f"k{rng.randrange(keys):03d}", 3, last, value)])
            elif drawn < 0.8:
                since, most = max(0, last - rng.randrange(60)), rng.choice([0, 60, 400, 9999])
                log.append([number(now), "changes", since, most, store.changes(since, most)])
            elif drawn < 0.98:
                after = rng.choice(["", f"k{rng.randrange(keys):03d}"])
                most, removals = rng.choice([0, 60, 400, 9999]), rng.random() < 0.5
                log.append([number(now), "page", after, most, removals, store.page(after, most, removals)])
            else:
                store = adapter.PlainStore()
                held = [
                    (f"k{place:03d}", 3, last - place, rng.choice([None, b"copy"]))
                    for place in rng.sample(range(keys), min(keys, last))
                    if place < last
                ]
                store.load(now, held, last, rng.randrange(last + 1))
            log.append(store.state())
        return log

    return run


def large_case(seed: int, nodes: int = 40, settings: int = 20, busy: bool = False) -> Case:
    """Copies of many pages, through two relays, while keys in them change and the source starts anew.
    ``busy``: many change at once, and some of the polls come after what is gone is forgotten.
    """

    def run() -> Log:
        rng, log, now, epoch = random.Random(seed), [], 0.0, 30
        source = adapter.PlainSource(DEPLOYMENT, "source", epoch, None)
        near = adapter.PlainRelay(DEPLOYMENT, "near", [["source"]], seed, None)
        far = adapter.PlainRelay(DEPLOYMENT, "far", [["near"]], seed + 1, None)
        servers: dict[str, adapter.Answering] = {"source": source, "near": near}
        keys = [f"nodes/{place:02d}" for place in range(nodes)]
        keys += [f"settings/{place}" for place in range(settings)]

        def change(key: str, gone: float) -> None:
            value = (
                None if rng.random() < gone else bytes([rng.randrange(256)]) * rng.randrange(20_000, 60_000)
            )
            lane = "nodes" if key.startswith("nodes/") else "settings"
            log.append([number(now), "change", key, source.put(now, lane, key, value)])

        for key in keys:
            change(key, 0.0)
        for step in range(160):
            if rng.random() < 0.4:
                change(rng.choice(keys), 0.3)
            if busy and rng.random() < 0.15:
                for key in rng.choices(keys, k=20):
                    change(key, 0.2)
            if busy and step in (40, 90, 140):
                for key in rng.choices(keys, k=6):
                    change(key, 0.8)
                now += 7300.0
                for key in (keys[0], keys[-1]):
                    change(key, 1.0)
            if step in (60, 110):
                epoch += 1
                source = adapter.PlainSource(DEPLOYMENT, "source", epoch, None)
                servers["source"] = source
                for key in rng.sample(keys, min(50, len(keys))):
                    change(key, 0.1)
            name, relay = min([("near", near), ("far", far)], key=lambda one: one[1].due())
            now = max(now, relay.due())
            for action in relay.step(now, []):
                log.append([number(now), name, action])
                if action[0] != "poll":
                    continue
                data = servers[action[1]].answer(now, bytes.fromhex(action[3]))
                log.append([number(now), "reply", adapter.plain_reply(DEPLOYMENT, data or b"")])
                now += rng.uniform(0.001, 0.1)
                log.append([number(now), name, relay.step(now, [(action[2], data)])])
                log.append([relay.summary(now), relay.served(now)])
        return log

    return run


def late_page_case() -> Log:
    """The last page of a copy is ahead of the changes that came with it; then a clock that is late."""
    log: Log = []
    source = adapter.PlainSource(DEPLOYMENT, "source", 30, None)
    relay = adapter.PlainRelay(DEPLOYMENT, "relay", [["source"]], 1, None)
    keys = [f"nodes/{place}" for place in range(9)]
    for key in keys:
        source.put(0.0, "nodes", key, bytes(60_000))
    source.put(0.0, "nodes", "nodes/y", b"small")
    source.put(0.0, "nodes", "nodes/z", b"small")
    now = 0.0
    for step in range(6):
        now = max(now, relay.due())
        for action in relay.step(now, []):
            data = source.answer(now, bytes.fromhex(action[3])) if action[0] == "poll" else None
            log.append([number(now), action, adapter.plain_reply(DEPLOYMENT, data or b"")])
            log.append([relay.step(now, [(action[2], data)]), relay.summary(now), relay.served(now)])
        if step == 1:
            source.put(now, "nodes", keys[-1], b"small")
            for key in keys[:-1]:
                source.put(now, "nodes", key, bytes(70_000))
            source.put(now, "nodes", "nodes/z", b"new")
    for late in (0.0, 0.5, 5.0):
        log.append(
            [number(late), adapter.plain_reply(DEPLOYMENT, first_poll(relay, now - late, "front") or b"")]
        )
    return log


def bounds_case() -> Log:
    """The bounds on messages: lengths, counts of entries, keys that are gone, subscribers of one relay."""
    log: Log = []
    source = adapter.PlainSource(DEPLOYMENT, "source", 9, None)
    for size in (1 << 18, (1 << 18) + 1):
        log.append(["value", size, source.put(0.0, "settings", "settings/large", bytes(size))])
    for length in (0, 1, 128, 129):
        log.append(["key", length, source.put(0.0, "nodes", "k" * length, b"1")])
    many = adapter.PlainStore()
    for count in range(10_003):
        many.put(0.0, f"k{count:05d}", 9, count + 1, b"")
    for found, end in (many.changes(0, 1 << 30), many.page("", 1 << 30, True)):
        log.append(["most entries", len(found), end])
    for count in range(50_003):
        many.put(1.0, f"g{count:05d}", 9, 20_000 + count, None)
    log.append(["most gone", many.state()])
    for after in (7200.0, 7200.5):
        one = adapter.PlainStore()
        one.put(0.0, "gone", 9, 1, None)
        one.put(after, "other", 9, 2, None)
        log.append(["kept for", number(after), one.state()])
    for name, most in (("source", None), ("source", 3)):
        server = adapter.PlainSource(DEPLOYMENT, name, 9, most)
        log.append(["most subscribers", most, fill_server(server)])
    relay = adapter.PlainRelay(DEPLOYMENT, "relay", [["source"]], 4, None)
    log.append(["not ready", adapter.plain_reply(DEPLOYMENT, first_poll(relay, 0.0, "front") or b"")])
    now = 0.0
    for _ in range(8):
        now = max(now, relay.due())
        for action in relay.step(now, []):
            if action[0] == "poll":
                data = source.answer(now, bytes.fromhex(action[3]))
                log.append([number(now), relay.step(now, [(action[2], data)])])
    log.append(["most subscribers", "relay", fill_server(relay)])
    return log


def first_poll(server: adapter.Answering, now: float, name: str) -> bytes | None:
    """One poll of a subscriber that knows nothing."""
    positions: list[tuple[int, str | None]] = [(0, ""), (0, "")]
    return server.answer(now, adapter.poll_bytes(DEPLOYMENT, 0, name, 1, 0, positions, 300, False))


def fill_server(server: adapter.Answering) -> Neutral:
    """How many subscribers are taken, and after which time one more is."""
    refused = []
    for count in range(260):
        word = adapter.plain_reply(DEPLOYMENT, first_poll(server, 100.0, f"front{count}") or b"")
        if word[4]:
            refused.append([count, word[4]])
    late = []
    for now in (114.5, 115.0, 115.25, 116.0):
        late.append([number(now), adapter.plain_reply(DEPLOYMENT, first_poll(server, now, "late") or b"")[4]])
    return [len(refused), refused[:1], late]


def contents_case(seed: int, ordered: bool = True) -> Case:
    """Entries of settings and nodes, some of them no JSON, merged in batches."""

    def run() -> Log:
        rng = random.Random(seed)
        batches, count = [], 0
        for _ in range(60):
            batch: list[tuple[str, int, int, bytes | None]] = []
            for _ in range(rng.randrange(5)):
                count += 1
                key = rng.choice(["settings", "settings/a", "settings/b", "settings/x/y", "nodes/1", "other"])
                texts = [b'{"a":1,"z":{"q":[]}}', b'"text"', b"7", b"{", b"", b"[1]", b"\xff", b"[" * 100_000]
                weights = [8, 6, 6, 1, 1, 1, 1, 1]
                value = None if rng.random() < 0.2 else rng.choices(texts, weights)[0]
                batch.append((key, 2, count, value))
            rng.shuffle(batch)
            batches.append(batch)
        if not ordered:
            rng.shuffle(batches)
        return adapter.plain_distributed_settings({"a": 0, "base": True}, batches)

    return run


def folder_case(seed: int) -> Case:
    """A source's folder whose files change, and its epochs."""

    def run() -> Log:
        rng, log = random.Random(seed), []
        names = ["settings", "settings/a", "nodes/1", "nodes/2", "n" * 128, "m" * 129]
        texts = [b"{}", b"1", b'{"x":2}', b"", b"{", b'"' + b"x" * (1 << 18) + b'"']
        with tempfile.TemporaryDirectory() as scratch, mock.patch("os.fsync"):  # which a busy disk delays
            path = Path(scratch) / "keys"
            path.mkdir()
            held = adapter.PlainFolder(path)
            for _ in range(40):
                file = path / f"{rng.choice(names)}.json"
                if file.exists() and rng.random() < 0.4:
                    file.unlink()
                else:
                    file.parent.mkdir(exist_ok=True)
                    file.write_bytes(rng.choice(texts))
                log.append(held.look())
            epochs = Path(scratch) / "epoch"
            for unix in (1.0, 1.0, 5.5, 2.0):
                log.append(["epoch", adapter.next_epoch(epochs, unix), epochs.read_text()])
            for text in ("12x", "", "-4", str(1 << 52), str((1 << 52) - 1), "٣"):
                epochs.write_text(text)
                log.append(["epoch", text, adapter.next_epoch(epochs, 1.0)])
        return log

    return run


# VRRP


def vrrp_case(seed: int, count: int, equal: bool = False, owner: bool = False) -> Case:
    """Routers on one network that start, stop, lose messages and hear foreign ones."""

    def run() -> Log:
        rng, log, now = random.Random(seed), [], 0.0
        addresses = [f"10.0.{rng.randrange(9)}.{place + 1}" for place in range(count)]
        if seed % 3 == 0:
            addresses = [f"fd00::{rng.randrange(9)}:{place + 1}" for place in range(count)]
        priorities = [100 if equal else rng.randrange(1, 255) for _ in range(count)]
        if owner:
            priorities[0] = 255
        intervals = [rng.choice([0.1, 1.0, 1.0, 0.25, 2.55]) for _ in range(count)]
        routers = [
            adapter.PlainRouter(priority, interval, rng.random() < 0.6, address)
            for priority, interval, address in zip(priorities, intervals, addresses)
        ]
        queue: list[tuple[float, int, int, str, bytes]] = []
        sent = 0

        def after(place: int, said: list[int]) -> None:
            nonlocal sent
            log.append([number(now), place, said, routers[place].state()])
            for priority in said:
                data = adapter.advertisement_bytes(51, priority, intervals[place], addresses[:2])
                log.append([number(now), place, "sends", data.hex()])
                for other in range(count):
                    if other != place and rng.random() > 0.08:
                        sent += 1
                        when = now + rng.uniform(0.001, 0.02)
                        heapq.heappush(queue, (when, sent, other, addresses[place], data))

        for place in range(count):
            after(place, routers[place].startup(now))
        next_event = rng.expovariate(0.4)
        while len(log) < 700:
            due = min(router.due() for router in routers)
            now = max(now, min([due, next_event, *(one[0] for one in queue[:1])]))
            if queue and queue[0][0] <= now:
                _, _, place, source, data = heapq.heappop(queue)
                after(place, routers[place].received(data, source, now))
            elif now >= next_event:
                next_event = now + rng.expovariate(0.4)
                place = rng.randrange(count)
                drawn = rng.random()
                if drawn < 0.3:
                    after(place, routers[place].shutdown())
                elif drawn < 0.7:
                    after(place, routers[place].startup(now))
                elif drawn < 0.85:
                    priority = rng.choice([0, 1, priorities[place], 254, 255])
                    interval = rng.choice([0.0, 0.5, 40.95, 41.0])
                    data = adapter.advertisement_bytes(51, priority, interval, ["10.9.9.9"])
                    after(place, routers[place].received(data, rng.choice(addresses), now))
                else:
                    now += rng.uniform(0.0, 6.0)
                    after(place, routers[place].timer(now))
            else:
                place = min(range(count), key=lambda one: routers[one].due())
                after(place, routers[place].timer(now))
        return log

    return run


def vrrp_messages_case(seed: int) -> Case:
    """Advertisements as bytes, whole and damaged."""

    def run() -> Log:
        rng, log = random.Random(seed), []
        for _ in range(120):
            pool = ["10.0.0.1", "192.168.1.254", "255.255.255.255"]
            if rng.random() < 0.3:
                pool = ["fd00::1", "2001:db8::ffff", "::"]
            chosen = rng.sample(pool, rng.randrange(4))
            interval = rng.choice([0.01, 0.25, 1.0, 40.95, 41.0, 0.005])
            data = adapter.advertisement_bytes(rng.randrange(256), rng.randrange(256), interval, chosen)
            log.append([data.hex(), adapter.plain_advertisement(data)])
            if data:
                place = rng.randrange(len(data))
                damaged = data[:place] + bytes([rng.randrange(256)]) + data[place + 1 :]
                log.append([damaged.hex(), adapter.plain_advertisement(damaged)])
                log.append([place, adapter.plain_advertisement(data[:place])])
        return log

    return run


def vrrp_reserved_case() -> Log:
    """Advertisements with reserved bits set, and kinds of other versions, under a checksum that fits."""
    log: Log = []
    for kind in (0x21, 0x31, 0x32, 0x41):
        for interval in (0, 1, 100, 0xFFF, 0x1064, 0xF064):
            head = bytes([kind, 7, 100, 1]) + interval.to_bytes(2, "big")
            tail = bytes([10, 0, 0, 1])
            total = sum(int.from_bytes((head + tail)[at : at + 2], "big") for at in range(0, 10, 2))
            while total >> 16:
                total = (total & 0xFFFF) + (total >> 16)
            data = head + (~total & 0xFFFF).to_bytes(2, "big") + tail
            log.append([data.hex(), adapter.plain_advertisement(data)])
    return log


# Lifecycle


def lifecycle_case(seed: int) -> Case:
    """Lives with signals, drains, ends of clients and ticks in drawn orders."""

    def run() -> Log:
        rng, log = random.Random(seed), []
        for life_number in range(12):
            aims = [rng.choice([0.05, 0.25, 0.5, 1.0, 4.0]) for _ in range(rng.randrange(4))]
            seconds = rng.choice([0.3, 0.9, 1.5, 3.0, 10.0, 30.0])
            life = adapter.PlainLifecycle(seconds, aims)
            now, connections, files = rng.uniform(0.0, 1000.0), rng.randrange(6), rng.randrange(3)
            leaving = False
            log.append([life_number, number(seconds), [number(aim) for aim in aims], life.state()])
            for _ in range(45):
                due = life.next_at()
                if due < math.inf and rng.random() < 0.3:
                    now = max(now, due)
                else:
                    now += rng.choice([0.0, 0.01, 0.1, 0.5])
                drawn = rng.random()
                if drawn < 0.1:
                    life.serves()
                    word: Neutral = "serves"
                elif drawn < 0.2:
                    leaving = True
                    word = ["signal", life.signal(now)]
                elif drawn < 0.27:
                    other = [rng.choice([0.1, 0.6, 2.0])]
                    life.retime(rng.choice([1.0, 5.0]), other)
                    word = "settings"
                elif drawn < 0.32:
                    life.released()
                    word = "given back"
                elif drawn < 0.55:
                    connections = max(0, connections + rng.choice([-1, -1, 1]))
                    files = max(0, files + rng.choice([-1, 0, 1 - leaving]))
                    word = "clients"
                else:
                    word = "tick"
                orders = life.step(now, connections, files)
                log.append([number(now), word, connections, files, orders, life.state()])
        return log

    return run


# Backoff


def backoff_case(
    seed: int, hosts: float, each: float, most: int, least: float, period: float, ends: float = 0.1
) -> Case:
    """Waits after drawn failures and ends."""

    def run() -> Log:
        rng, log = random.Random(seed), []
        for life in range(6):
            backoff = adapter.PlainBackoff(seed * 10 + life, hosts, each, most, least, period)
            for step in range(50):
                if rng.random() < 1 - 1.5 * ends - ends * life:
                    spent = rng.choice([None, 0.0, rng.uniform(0.0, 2 * period)])
                    log.append([step, "failed", backoff.failed(spent)])
                else:
                    within = rng.choice([None, 0.05, rng.uniform(0.0, 2 * period)])
                    log.append([step, "ended", backoff.ended(within)])
        return log

    return run


# Settings that change


def draw_settings(rng: random.Random, classes: int, plans: int) -> dict[str, Any]:
    """Settings with so many classes and plans."""
    return {
        "classes": [
            (
                rng.choice([0.05, 0.5, 2.0]),
                rng.choice([0.5, 1.0, 3.0]),
                rng.choice([0.001, 0.01]),
                rng.choice(["free", "keyed", "once"]),
                rng.choice(["all", "zone", "cell"]),
                rng.choice([0.0, 60.0]),
                rng.random() < 0.3,
            )
            for _ in range(classes)
        ],
        "plans": [tuple(round(rng.uniform(0.0, 9.0), 3) for _ in range(7)) for _ in range(plans)],
        "cold_from": rng.uniform(0.0, 1.0),
        "ramp": rng.uniform(1.0, 60.0),
        "seed": rng.randrange(1 << 30),
        "hosts": rng.randrange(1, 40),
        "must_watch": rng.random() < 0.5,
        "max_attempts": rng.randrange(1, 6),
        "cancel": rng.random() < 0.5,
        "cold_units": rng.uniform(0.0, 50.0),
        "largest": rng.uniform(1.0, 64.0),
        "mean": rng.uniform(0.1, 5.0),
        "within_share": rng.uniform(0.5, 1.0),
        "tells_others": rng.random() < 0.5,
        "quiet_since": rng.choice([None, rng.uniform(0.0, 9.0)]),
        "limit_share": rng.uniform(0.1, 1.0),
        "taken_over": rng.random() < 0.5,
        "retry_after": rng.uniform(0.0, 30.0),
        "probes": rng.random() < 0.5,
    }


def draw_file(rng: random.Random, depth: int = 3) -> Any:
    """A value of a settings file."""
    drawn = rng.random()
    if depth and drawn < 0.5:
        return {key: draw_file(rng, depth - 1) for key in rng.sample("abcdef", rng.randrange(5))}
    if depth and drawn < 0.75:
        return [
            {key: draw_file(rng, depth - 1) for key in rng.sample("abc", rng.randrange(1, 4))}
            for _ in range(rng.randrange(4))
        ]
    return rng.choice([None, 1, "x", [1, 2], [{}, 1], True])


def thin(rng: random.Random, value: Any) -> Any:
    """The same file with keys that are gone or new."""
    if isinstance(value, dict):
        out = {key: thin(rng, one) for key, one in value.items() if rng.random() > 0.08}
        if rng.random() < 0.2:
            out["new"] = 1
        return out
    if isinstance(value, list):
        return [thin(rng, one) for one in value if rng.random() > 0.05]
    return copy.copy(value)


def retune_case(seed: int) -> Case:
    """Settings whose classes and plans come, go and come back; files that lose keys."""

    def run() -> Log:
        rng, log = random.Random(seed), []
        names, plans = ["read", "write", "scan", "copy"], ["gold", "basic", "trial"]
        kinds, tiers = rng.sample(names, 2), rng.sample(plans, 2)
        held = adapter.PlainSettingsReload(draw_settings(rng, len(kinds), len(tiers)), kinds, tiers)
        for _ in range(25):
            kinds = rng.sample(names, rng.randrange(1, 5))
            tiers = rng.sample(plans, rng.randrange(1, 4))
            writes = [
                rng.choice([None, True, False]) for _ in range(rng.choice([len(kinds), len(kinds), 2, 0]))
            ]
            plain = draw_settings(rng, len(kinds), len(tiers))
            log.append([kinds, tiers, writes, held.change(plain, kinds, tiers, writes)])
        for _ in range(40):
            old = {"a": draw_file(rng), "b": draw_file(rng), "c": draw_file(rng)}
            new = thin(rng, old)
            log.append(
                [
                    adapter.plain_key_paths(old),
                    adapter.plain_key_paths(new),
                    adapter.plain_missing_key(old, new),
                ]
            )
        return log

    return run


# Directory and holds


def directory_case(seed: int, names: int) -> Case:
    """Lists and changes of nodes, holds by hand, and who hears of them."""

    def run() -> Log:
        rng, log, now = random.Random(seed), [], 1000.0
        held = adapter.PlainDirectory({"east": 0})
        pool = [f"node-{place:02d}" for place in range(names)]

        def row(name: str) -> tuple[str, str, int, str, int, str, float]:
            host = rng.choice(["10.0.0.1", "10.0.0.2", "fd00::2"])
            state = rng.choices(["live", "draining", "gone"], [8, 2, 1])[0]
            zone, cell = rng.choice(["east", "west", "north"]), rng.randrange(-1, 4)
            return name, host, rng.randrange(80, 83), zone, cell, state, rng.choice([0.0, 500.0, now])

        for version in range(80):
            now += rng.uniform(0.0, 50.0)
            drawn = rng.random()
            if drawn < 0.25:
                rows = [row(name) for name in rng.sample(pool, rng.randrange(names))]
                log.append(["whole", held.apply(version, True, rows)])
            elif drawn < 0.6:
                rows = [row(name) for name in rng.choices(pool, k=rng.randrange(4))]
                log.append(["changes", held.apply(version, False, rows)])
            elif drawn < 0.8:
                name = rng.choice([*pool, "nobody"])
                log.append(["hold", name, held.hold(name)])
            else:
                name = rng.choice([*pool, "nobody"])
                log.append(["release", name, held.release(name, now)])
            log.append([number(now), held.seen(rng.sample(pool, min(4, names)))])
        return log

    return run


def directory_long_case() -> Log:
    """A long life in which nodes are replaced under new names: numbers that are forgotten, and not."""
    log: Log = []
    held = adapter.PlainDirectory({})

    def row(place: int, state: str = "live") -> tuple[str, str, int, str, int, str, float]:
        return f"node-{place}", "10.0.0.1", 80, "east", 0, state, 0.0

    for version in range(27):
        held.apply(version, True, [row(version * 40 + place) for place in range(40)])
    names = [f"node-{place}" for place in (0, 10, 15, 16, 39, 40, 500, 1039, 1040, 1079)]
    log.append(held.seen(names))
    log.append(held.apply(27, False, [row(place) for place in (0, 10, 16, 500, 1079, 2000)]))
    log.append(held.apply(28, False, [row(place, "gone") for place in range(1040, 1080)]))
    log.append(held.seen([*names, "node-2000"]))
    return log


def holds_case(seed: int) -> Case:
    """Holds by hand, taken over from another process, and a front that drains."""

    def run() -> Log:
        rng, log, now = random.Random(seed), [], 100.0
        names = ["a", "b", "c", "d", "e"]
        mine, others = adapter.PlainHolds(), adapter.PlainHolds()
        broken = ["", "[]", "{}", '{"held": 1, "released": {}}', '{"held": [], "released": []}', "null"]
        broken += ['{"held": ["q"], "released": {"q": "x"}}', '{"held": [7], "released": {"b": 3}}']
        for _ in range(150):
            now += rng.uniform(0.0, 9.0)
            drawn, name, known = rng.random(), rng.choice(names), rng.random() < 0.7
            subject = rng.choice([mine, others])
            if drawn < 0.35:
                word: Neutral = ["hold", name, known, subject.hold(name, known)]
            elif drawn < 0.6:
                word = ["release", name, known, subject.release(name, known, now)]
            elif drawn < 0.75:
                word = ["adopt", mine.adopt(others.encode(), now)]
            elif drawn < 0.85:
                word = ["adopt", mine.adopt(rng.choice(broken), now)]
            else:
                word = ["drain", subject.drain(rng.random() < 0.5)]
            started = rng.choice([0.0, now - 20.0, now])
            log.append([number(now), word, mine.encode(), mine.state(names, started)])
        return log

    return run


# Bodies


def bodies_case(seed: int, total: int, most: int | None, largest: int, grain: int = 1) -> Case:
    """Bodies that grow, wait and leave in a memory that is too small for all."""

    def run() -> Log:
        rng, log = random.Random(seed), []
        room = adapter.PlainBodyMemory(total, most)
        sizes: dict[str, int] = {}
        for step in range(500):
            name = f"body{rng.randrange(12)}"
            if rng.random() < 0.12:
                room.leave(name)
                sizes.pop(name, None)
                log.append([step, name, "leaves", room.state()])
                continue
            wanted = sizes.get(name, 0) + rng.randrange(1, max(2, largest // 6))
            if rng.random() < 0.05:
                wanted = rng.choice([64 * 1024, 64 * 1024 + 1, largest, 33_554_432, 33_554_432 + 65_537])
            wanted = -(-wanted // grain) * grain
            if taken := room.take(name, wanted):
                sizes[name] = wanted
            log.append([step, name, wanted, taken, room.state()])
        for _ in range(20):
            size, grace = rng.randrange(1 << 26), rng.choice([None, 0.0, 1.5])
            log.append([size, adapter.plain_body_timeout(size, grace)])
        return log

    return run


def make_cases() -> dict[str, Case]:
    """All cases by name."""
    cases: dict[str, Case] = {}
    cases["distribution-network-1"] = network_case(
        25.0, 3.0, seed=1, relays=2, subscribers=2, timing={"rate": 800.0, "burst": 1500.0}
    )
    for seed in range(2, 9):
        cases[f"distribution-network-{seed}"] = network_case(
            90.0,
            2.0,
            seed=seed,
            relays=2 + seed % 3,
            subscribers=3 + seed % 4,
            most=(None, 2, 3)[seed % 3],
            loss=(0.0, 0.05, 0.15)[seed % 3],
            size=(40, 400)[seed % 2],
            timing=({}, {"rate": 900.0, "burst": 1200.0}, {"home": 12.0, "poll": 0.5})[seed % 3],
        )
    for seed in range(1, 5):
        cases[f"distribution-replies-{seed}"] = replies_case(seed, whole=seed % 2 == 0)
    for seed in range(1, 5):
        most, keys = ((None, 20), (3, 60), (5, 200), (2, 500))[seed - 1]
        cases[f"distribution-polls-{seed}"] = polls_case(seed, most, keys)
    for seed in range(1, 4):
        cases[f"distribution-store-{seed}"] = store_case(seed, (10, 40, 200)[seed - 1])
    cases["distribution-bounds"] = bounds_case
    for seed in range(1, 3):
        cases[f"distribution-contents-{seed}"] = contents_case(seed)
        cases[f"distribution-folder-{seed}"] = folder_case(seed)
    cases["distribution-contents-3"] = contents_case(3, ordered=False)
    cases["distribution-network-9"] = network_case(
        90.0, 3.0, seed=9, relays=2, subscribers=4, timing={"rate": 300.0, "burst": 500.0}
    )
    for seed in range(1, 3):
        cases[f"distribution-large-{seed}"] = large_case(seed)
    cases["distribution-large-3"] = large_case(3, nodes=1, settings=60)
    cases["distribution-large-4"] = large_case(4, nodes=30, settings=30, busy=True)
    cases["distribution-large-5"] = large_case(5, nodes=50, settings=3, busy=True)
    cases["distribution-large-6"] = large_case(6, nodes=10, settings=50, busy=True)
    cases["distribution-late-page"] = late_page_case
    for seed in range(1, 9):
        count = 2 + seed % 4
        cases[f"vrrp-routers-{seed}"] = vrrp_case(seed, count, equal=seed % 4 == 1, owner=seed % 4 == 2)
    for seed in range(1, 3):
        cases[f"vrrp-messages-{seed}"] = vrrp_messages_case(seed)
    cases["vrrp-reserved"] = vrrp_reserved_case
    for seed in range(1, 9):
        cases[f"lifecycle-{seed}"] = lifecycle_case(seed)
    spans = [
        (40.0, 0.05, 8, 0.25, 10.0),
        (1.0, 0.05, 8, 0.25, 10.0),
        (math.inf, 0.1, 4, 0.5, 5.0),
        (200.0, 0.1, 64, 0.25, 13.0),
        (10.0, 0.01, 1, 0.1, 2.0),
        (2.0, 0.001, 1 << 40, 1e-9, 1e6),
    ]
    for seed, (hosts, each, most_times, least, period) in enumerate(spans, start=1):
        cases[f"backoff-{seed}"] = backoff_case(seed, hosts, each, most_times, least, period)
    cases["backoff-long"] = backoff_case(7, 1.0, 0.001, 1 << 40, 1e-9, 1e12, ends=0.0)
    cases["backoff-even"] = backoff_case(8, 10.0, 0.25, 8, 0.25, 10.0)
    for seed in range(1, 6):
        cases[f"retune-{seed}"] = retune_case(seed)
    for seed in range(1, 6):
        cases[f"directory-{seed}"] = directory_case(seed, (4, 6, 10, 16, 30)[seed - 1])
    cases["directory-long"] = directory_long_case
    for seed in range(1, 6):
        cases[f"holds-{seed}"] = holds_case(seed)
    rooms: list[tuple[int, int | None, int]] = [
        (1_000_000, 300_000, 300_000),
        (500_000, 400_000, 450_000),
        (100 << 20, None, 33 << 20),
        (64 << 20, None, 33 << 20),
        (200_000, None, 260_000),
        (3_000_000, 500_000, 520_000),
    ]
    for seed, (total, most, largest) in enumerate(rooms, start=1):
        cases[f"bodies-{seed}"] = bodies_case(seed, total, most, largest)
    for seed in range(7, 9):
        cases[f"bodies-{seed}"] = bodies_case(seed, 12 * GRAIN, 4 * GRAIN, 6 * GRAIN, grain=GRAIN)
    return cases


CASES = make_cases()
READABLE = (
    "distribution-network-1",
    "distribution-contents-1",
    "distribution-bounds",
    "distribution-late-page",
    "vrrp-messages-1",
    "vrrp-reserved",
    "vrrp-routers-1",
    "lifecycle-1",
    "backoff-1",
    "retune-1",
    "directory-1",
    "directory-long",
    "holds-1",
    "bodies-1",
)


def run_case(name: str) -> Log:
    """The outputs of one case."""
    return CASES[name]()


def entry_text(entry: Neutral) -> str:
    """One entry of a recording as a line."""
    return json.dumps(entry, ensure_ascii=True, separators=(",", ":"))


def log_digest(log: Log) -> str:
    """A digest of all entries of a case."""
    return adapter.digest("\n".join(entry_text(entry) for entry in log).encode())
