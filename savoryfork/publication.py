"""Publication records of configuration files, and the state machine that applies them."""

from __future__ import annotations

import base64
import binascii
import hashlib
import logging
import zlib
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import jsonschema
import msgspec
import xxhash

from savoryfork import defaults
from savoryfork.files import (
    MAX_PROBLEMS,
    PATH_PATTERN,
    Problem,
    check_file,
    check_pipeline,
    check_workspace,
    name_of,
    object_schema,
    parse_file,
    schema_problems,
)
from savoryfork.pipeline import (
    EMPTY_CONFIGURATION,
    Configuration,
    Pipeline,
    Service,
    Workspace,
)
from savoryfork.util import logs
from savoryfork.util.topic import Fold, Page, Record, era_of, raw_offset

log = logging.getLogger(__name__)

# The newest schema version that this program supports. The rules of a published version never
# change, because every host must reach the same verdict from the same record.
SCHEMA = 1

# The base offset of a file that has never been published.
ABSENT = -1

# Limits on the retained state. They are part of schema version 1, since all hosts must agree on it.
MAX_VERDICTS = 1_000
MAX_REMOVED = 2_000
MAX_RECORD_DEPTH = 24

# Validating one file takes about 0.12 ms. All hosts apply a publication at the same time, so it
# must not block their event loops for longer than the 28 ms allowed between two tokens.
MAX_FILES = 100

# The tail only saves transfers between hosts and is not part of the agreed state, so its size may
# differ between hosts.
MAX_TAIL_BYTES = 1_000_000

MAX_SNAPSHOT_BYTES = 64_000_000

RECORD_SCHEMA = object_schema(
    ["schema", "type", "id", "operator", "base", "files"],
    schema={"const": SCHEMA},
    type={"const": "publish"},
    id={"type": "string", "pattern": r"^[A-Za-z0-9-]{8,64}\Z"},
    operator={"type": "string", "minLength": 1, "maxLength": 100},
    base={"type": "object", "additionalProperties": {"type": "integer", "minimum": ABSENT}},
    files={
        "type": "object",
        "minProperties": 1,
        "maxProperties": MAX_FILES,
        "additionalProperties": {"type": ["object", "null"]},
    },
)

RECORD_VALIDATOR = jsonschema.Draft202012Validator(RECORD_SCHEMA)


class Verdict(NamedTuple):
    """The outcome of one publication.

    `state` is accepted, conflict or invalid; `offset` is that of the publication's first record.
    `paths` are the files that changed since the operator read them. `digest` identifies the
    content, so that an id reused for a different publication is detected.
    """

    state: str
    offset: int
    paths: tuple[str, ...] = ()
    problems: tuple[Problem, ...] = ()
    digest: str = ""


class Entry(NamedTuple):
    """One published file: the offset of its publication and its JSON."""

    offset: int
    raw: bytes


class TailRecord(NamedTuple):
    """One record of the tail, with its value encoded as JSON."""

    offset: int
    time_ms: int
    value: bytes


class LostPublication(NamedTuple):
    """An accepted publication that the log lost: its number in an earlier era, and its record."""

    offset: int
    value: dict[str, Any]


class InvalidSnapshot(Exception):
    """Raised for a snapshot or checkpoint that this program can't read."""


def depth_within(value: Any, limit: int) -> bool:
    """Returns whether a JSON value is nested at most `limit` deep, without recursion."""
    level = [value]
    for _ in range(limit):
        level = [
            child
            for node in level
            if isinstance(node, dict | list)
            for child in (node.values() if isinstance(node, dict) else node)
        ]
        if not level:
            return True
    return False


def encode(value: Any) -> bytes:
    """Encodes a value as JSON with sorted keys, so that equal values give equal bytes."""
    return msgspec.json.encode(value, order="deterministic")


def publication_record(
    publication_id: str, operator: str, base: Mapping[str, int], files: Mapping[str, Any]
) -> dict[str, Any]:
    """Builds the log record that publishes `files`; None removes a file."""
    return {
        "schema": SCHEMA,
        "type": "publish",
        "id": publication_id,
        "operator": operator,
        "base": dict(base),
        "files": dict(files),
    }


def content_digest(files: Any) -> str:
    """Returns a hash of the files of a publication.

    The base is excluded: an operator who retries an id after a lost response may already have read
    the offsets set by the publication itself.
    """
    return xxhash.xxh3_64_hexdigest(encode(files))


def check_record(value: Any) -> list[Problem]:
    """Validates the structure of a publish record, and each of its files on its own."""
    if not depth_within(value, MAX_RECORD_DEPTH):
        return [Problem("", ".", "the publication is nested too deeply")]
    problems = list(schema_problems(RECORD_VALIDATOR, "", value))
    if problems:
        return problems
    for path, document in sorted(value["files"].items()):
        if document is not None or PATH_PATTERN.match(path) is None:
            problems += check_file(path, document)
    return problems


class Changes(NamedTuple):
    """Validated changes, ready to be applied; None removes an item."""

    services: dict[str, Service | None]
    pipelines: dict[str, Pipeline | None]
    workspaces: dict[str, Workspace | None]


def patched(old: Mapping[str, Any], changes: Mapping[str, Any]) -> Mapping[str, Any]:
    """Returns a copy of a mapping with changes applied, or the same object if there are none."""
    if not changes:
        return old
    new = dict(old)
    for name, item in changes.items():
        if item is None:
            new.pop(name, None)
        else:
            new[name] = item
    return new


class ConfigFold(Fold):
    """The configuration in effect, as a pure function of the records of topic `config`.

    A publication is evaluated against the state after all earlier records, so every host reaches
    the same verdict. Only changed files and the files that refer to them are validated: at 2,800
    workspaces and 4,700 changes a day, full validation of each change would exceed the CPU budget.
    `referrers` therefore maps each service and pipeline path to the paths of files that name it.

    A removed file keeps the offset of its removal as its base. Otherwise a publication appended
    again after the removal would pass the conflict check and restore the file.

    If the log came back from an older copy, the state is computed anew from the records that it
    has, so all hosts still agree. `lost` holds the accepted publications that this host knows and
    that the log has no verdict of; while there are any, the configuration of the fold must not take
    effect. `moved` maps the numbers of lost publications to those at which they were appended
    again. Neither is part of the agreed state.
    """

    def __init__(self) -> None:
        self.position = 0
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.files: dict[str, Entry] = {}
        self.removed: OrderedDict[str, int] = OrderedDict()
        self.verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self.referrers: dict[str, set[str]] = {}
        self.stopped_at: int | None = None
        self.checkpoint_through = -1
        self.tail: deque[TailRecord] = deque()
        self.tail_start = 0
        self.tail_bytes = 0
        self.snapshot_cache: tuple[int, bytes] | None = None
        self.lost: dict[str, LostPublication] = {}
        self.moved: dict[int, int] = {}

    # Applying records.

    def apply(self, record: Record) -> None:
        """Applies one record; never raises, whatever the record contains."""
        if record.offset < self.position or self.stopped_at is not None:
            return
        value = record.value if isinstance(record.value, dict) else {}
        schema = value.get("schema")
        if type(schema) is int and schema > SCHEMA:
            self.stopped_at = record.offset
            logs.event(
                log, "config_schema_newer", logging.ERROR, offset=record.offset, schema=schema
            )
            return
        self.position = record.offset + 1
        self.snapshot_cache = None
        # A host that reads the tail already has a position, so it needs no checkpoint content.
        without_content = {key: value[key] for key in value if key != "content"}
        try:
            raw = encode(without_content)
        except (ValueError, OverflowError, RecursionError, TypeError):
            # A record that can't be encoded for other hosts must have no effect on any host.
            value, raw = {}, b"{}"
        if type(schema) is int and schema == SCHEMA:
            self.apply_current_schema(record.offset, value)
        self.append_to_tail(TailRecord(record.offset, record.time_ms, raw))

    def apply_current_schema(self, offset: int, value: dict[str, Any]) -> None:
        """Applies a record of the current schema version; unknown types have no effect."""
        if value.get("type") == "publish":
            self.apply_publication(offset, value)
        elif value.get("type") == "checkpoint":
            through = value.get("through")
            # A record without content came from another host, which has verified the digest.
            intact = "content" not in value or decode_content(value) is not None
            if type(through) is int and through < offset and intact:
                self.checkpoint_through = max(self.checkpoint_through, through)

    def apply_publication(self, offset: int, value: dict[str, Any]) -> None:
        """Evaluates a publication and applies it if it is accepted."""
        publication_id = value.get("id")
        if not isinstance(publication_id, str) or not 0 < len(publication_id) <= 64:
            return
        if publication_id in self.verdicts or not depth_within(value, MAX_RECORD_DEPTH):
            return
        verdict, changes = self.evaluate(offset, value)
        self.verdicts[publication_id] = verdict
        if len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.popitem(last=False)
        if changes is not None:
            self.apply_changes(offset, value["files"], changes)
        if publication_id in self.lost:
            self.settle_lost(publication_id, verdict)

    def evaluate(self, offset: int, value: dict[str, Any]) -> tuple[Verdict, Changes | None]:
        """Evaluates a publish record against the current state without changing the state."""
        problems = check_record(value)
        changes = Changes({}, {}, {})
        digest = "" if problems else content_digest(value["files"])
        if not problems:
            conflicts = self.conflicts(value["base"], value["files"])
            if conflicts:
                return Verdict("conflict", offset, conflicts[:100], (), digest), None
            changes, problems = self.check_changes(value["files"])
        if problems:
            reported = tuple(sorted(problems)[:MAX_PROBLEMS])
            return Verdict("invalid", offset, (), reported, digest), None
        return Verdict("accepted", offset, (), (), digest), changes

    def base_offset(self, path: str) -> int:
        """Returns the offset that last set or removed a file, ABSENT if it was never published."""
        entry = self.files.get(path)
        return entry.offset if entry is not None else self.removed.get(path, ABSENT)

    def conflicts(self, base: Mapping[str, int], files: Iterable[str]) -> tuple[str, ...]:
        """Returns the paths whose offset differs from the one that the operator read."""
        return tuple(
            path
            for path in sorted({*base, *files})
            if base.get(path, ABSENT) != self.base_offset(path)
        )

    def check_changes(self, files: Mapping[str, Any]) -> tuple[Changes, list[Problem]]:
        """Validates changed files, already checked one by one, and the files that refer to them."""
        changes = Changes({}, {}, {})
        problems = []
        affected = set()
        for path, document in files.items():
            kind = path.partition("/")[0]
            item = None if document is None else parse_file(path, document)
            if item is None and path not in self.files:
                problems.append(Problem(path, ".", "there is no such file to remove"))
            getattr(changes, f"{kind}s")[name_of(path)] = item
            # Changing a pipeline without removing it can't invalidate workspaces that name it.
            if kind == "service" or item is None:
                affected |= self.referrers.get(path, set())
        services = patched(self.configuration.services, changes.services)
        pipelines = patched(self.configuration.pipelines, changes.pipelines)
        for path in affected | set(files):
            kind, name = path.partition("/")[0], name_of(path)
            if kind == "pipeline" and name in pipelines:
                problems += check_pipeline(pipelines[name], services)
            elif kind == "workspace":
                workspace = changes.workspaces.get(name, self.configuration.workspaces.get(name))
                if workspace is not None:
                    problems += check_workspace(workspace, pipelines)
        return changes, problems

    def apply_changes(self, offset: int, files: Mapping[str, Any], changes: Changes) -> None:
        """Replaces the configuration; the old object stays valid for runs that pinned it."""
        old = self.configuration
        for path, document in sorted(files.items()):
            self.remove_references(path, old)
            if document is None:
                del self.files[path]
                self.removed[path] = offset
                if len(self.removed) > MAX_REMOVED:
                    self.removed.popitem(last=False)
            else:
                self.files[path] = Entry(offset, encode(document))
                self.removed.pop(path, None)
        self.configuration = Configuration(
            offset,
            patched(old.services, changes.services),
            patched(old.pipelines, changes.pipelines),
            patched(old.workspaces, changes.workspaces),
        )
        for path in files:
            self.add_references(path, self.configuration)

    def add_references(self, path: str, configuration: Configuration) -> None:
        """Records which paths a file refers to."""
        for target in references(path, configuration):
            self.referrers.setdefault(target, set()).add(path)

    def remove_references(self, path: str, configuration: Configuration) -> None:
        """Removes the recorded references of a file."""
        for target in references(path, configuration):
            referrers = self.referrers.get(target, set())
            referrers.discard(path)
            if not referrers:
                self.referrers.pop(target, None)

    # Catch-up of other hosts.

    def append_to_tail(self, record: TailRecord) -> None:
        """Appends to the tail kept for other hosts, which is bounded by records and bytes."""
        self.tail.append(record)
        self.tail_bytes += len(record.value)
        while len(self.tail) > defaults.CONFIG_TAIL_RECORDS or self.tail_bytes > MAX_TAIL_BYTES:
            dropped = self.tail.popleft()
            self.tail_bytes -= len(dropped.value)
            self.tail_start = dropped.offset + 1

    def records_from(self, position: int, max_bytes: int) -> list[TailRecord] | None:
        """Returns records from `position` on, up to about `max_bytes`; None if already evicted."""
        if position < self.tail_start:
            return None
        found: list[TailRecord] = []
        for record in reversed(self.tail):
            if record.offset < position:
                break
            found.append(record)
        found.reverse()
        size = 0
        for count, record in enumerate(found):
            size += len(record.value)
            if size > max_bytes and count > 0:
                return found[:count]
        return found

    def snapshot(self) -> bytes:
        """Returns the whole state as compressed JSON, equivalent on all hosts at one position."""
        if self.snapshot_cache is not None and self.snapshot_cache[0] == self.position:
            return self.snapshot_cache[1]
        state = {
            "schema": SCHEMA,
            "position": self.position,
            "offset": self.configuration.offset,
            "files": {path: [e.offset, msgspec.Raw(e.raw)] for path, e in self.files.items()},
            "removed": list(self.removed.items()),
            "verdicts": list(self.verdicts.items()),
            "checkpoint_through": self.checkpoint_through,
        }
        data = zlib.compress(msgspec.json.encode(state), 1)
        self.snapshot_cache = (self.position, data)
        return data

    def install_snapshot(self, snapshot: bytes) -> bool:
        """Replaces the state by another host's snapshot if that is ahead; returns whether it was.

        The position never decreases, and the offset only if the log came back from an older copy.
        The files of a snapshot were validated by the host that wrote it, so they are parsed but not
        validated again.
        """
        if self.stopped_at is not None:
            return False
        try:
            state = read_snapshot(snapshot)
        except InvalidSnapshot as error:
            logs.event(log, "config_snapshot_refused", logging.WARNING, reason=str(error))
            return False
        restored = era_of(state.position) > era_of(self.position)
        if state.position <= self.position:
            return False
        if state.offset < self.configuration.offset and not restored:
            return False
        known, verdicts = self.accepted_publications(), self.verdicts
        items = {path: parse_file(path, document) for path, _, document in state.documents}
        self.position = state.position
        self.files = {path: Entry(offset, encode(doc)) for path, offset, doc in state.documents}
        self.removed = OrderedDict(state.removed)
        self.verdicts = OrderedDict(state.verdicts)
        self.configuration = Configuration(
            state.offset,
            {item.name: item for item in items.values() if isinstance(item, Service)},
            {item.name: item for item in items.values() if isinstance(item, Pipeline)},
            {item.name: item for item in items.values() if isinstance(item, Workspace)},
        )
        self.referrers = {}
        for path in items:
            self.add_references(path, self.configuration)
        self.checkpoint_through = max(self.checkpoint_through, state.checkpoint_through)
        self.tail.clear()
        self.tail_bytes = 0
        self.tail_start = self.position
        self.snapshot_cache = None
        if restored:
            self.keep_lost(known, verdicts)
        return True

    def checkpoint(self, record_id: str) -> dict[str, Any]:
        """Builds a checkpoint record, from which a reader can start without older records."""
        content = self.snapshot()
        return {
            "schema": SCHEMA,
            "type": "checkpoint",
            "id": record_id,
            "through": self.position - 1,
            "content": base64.b64encode(content).decode(),
            "digest": hashlib.sha256(content).hexdigest(),
        }

    def recover(self, page: Page) -> bool:
        """Restores the checkpoint with the highest `through` and applies all records above it.

        These include records that precede the checkpoint's own record: they were appended while
        its writer was preparing it. Returns False if no checkpoint is usable.
        """
        if raw_offset(self.position) >= page.start:
            # Records or a snapshot from another host arrived while the page was being read.
            for record in page.records:
                self.apply(record)
            return True
        candidates = sorted(
            (
                record
                for record in page.records
                if is_usable_checkpoint(record, page.start)
                and is_prefix(page.records, record.value["through"])
            ),
            key=lambda record: record.value["through"],
            reverse=True,
        )
        for candidate in candidates:
            content = valid_snapshot(candidate.value)
            if content is None or not self.install_snapshot(content):
                continue
            for record in page.records:
                self.apply(record)
            return True
        return False

    # A log that came back from an older copy.

    def rebuild(self, page: Page) -> bool:
        """Computes the state anew, and remembers the accepted publications that the log lost."""
        fresh = ConfigFold()
        if page.start > 0:
            if not fresh.recover(page):
                return False
        else:
            for record in page.records:
                fresh.apply(record)
        known, verdicts, moved = self.accepted_publications(), self.verdicts, self.moved
        vars(self).update(vars(fresh))
        self.moved = moved
        self.keep_lost(known, verdicts)
        return True

    def accepted_publications(self) -> dict[str, LostPublication]:
        """Returns the accepted publications whose records this host still holds, by id."""
        found = dict(self.lost)
        for record in self.tail:
            value = msgspec.json.decode(record.value)
            publication_id = value.get("id")
            if value.get("type") != "publish" or not isinstance(publication_id, str):
                continue
            verdict = self.verdicts.get(publication_id, Verdict("", -1))
            if verdict.state == "accepted" and verdict.offset == record.offset:
                found[publication_id] = LostPublication(record.offset, value)
        return found

    def keep_lost(
        self, known: Mapping[str, LostPublication], verdicts: Mapping[str, Verdict]
    ) -> None:
        """Remembers what the log lost of the publications that were accepted before."""
        self.lost = {i: item for i, item in known.items() if i not in self.verdicts}
        for publication_id, verdict in verdicts.items():
            if verdict.state != "accepted" or publication_id in self.verdicts:
                continue
            held = publication_id in self.lost
            logs.event(
                log,
                "publication_missing" if held else "publication_lost",
                logging.WARNING if held else logging.ERROR,
                id=publication_id,
                offset=verdict.offset,
            )

    def settle_lost(self, publication_id: str, verdict: Verdict) -> None:
        """Notes the new verdict of a publication that the log had lost."""
        lost = self.lost.pop(publication_id)
        if verdict.state == "accepted":
            self.moved[lost.offset] = verdict.offset
            return
        logs.event(
            log,
            "publication_lost",
            logging.ERROR,
            id=publication_id,
            offset=lost.offset,
            verdict=verdict.state,
        )

    def record_to_repeat(self, publication_id: str) -> dict[str, Any]:
        """Returns the record of a lost publication, based on the new numbers of earlier ones."""
        value = self.lost[publication_id].value
        base = {path: self.moved.get(offset, offset) for path, offset in value["base"].items()}
        return {**value, "base": base}


def references(path: str, configuration: Configuration) -> set[str]:
    """Returns the paths that a file of this configuration refers to."""
    kind, name = path.partition("/")[0], name_of(path)
    if kind == "pipeline" and name in configuration.pipelines:
        return {f"service/{stage.service}.json" for stage in configuration.pipelines[name].stages}
    if kind == "workspace" and name in configuration.workspaces:
        return {f"pipeline/{used}.json" for used in configuration.workspaces[name].pipelines}
    return set()


class SnapshotState(NamedTuple):
    """A decoded snapshot; `documents` are (path, offset, file)."""

    position: int
    offset: int
    documents: list[tuple[str, int, dict[str, Any]]]
    removed: list[tuple[str, int]]
    verdicts: list[tuple[str, Verdict]]
    checkpoint_through: int


class SnapshotForm(msgspec.Struct):
    """The JSON structure of a snapshot of schema version 1."""

    schema: int
    position: int
    offset: int
    files: dict[str, tuple[int, dict[str, Any]]]
    removed: list[tuple[str, int]]
    verdicts: list[tuple[str, Verdict]]
    checkpoint_through: int


def read_snapshot(snapshot: bytes) -> SnapshotState:
    """Decodes a snapshot; raises InvalidSnapshot if its version or structure is not supported."""
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(snapshot, MAX_SNAPSHOT_BYTES)
        if not inflater.eof:
            raise InvalidSnapshot("the snapshot is truncated or too large")
        form = msgspec.json.decode(data, type=SnapshotForm)
        if form.schema != SCHEMA:
            raise InvalidSnapshot(f"the snapshot has schema version {form.schema}")
        documents = [(path, offset, doc) for path, (offset, doc) in form.files.items()]
        for path, _, document in documents:
            parse_file(path, document)
    except (zlib.error, msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
        raise InvalidSnapshot(f"the snapshot can't be read: {type(error).__name__}") from error
    return SnapshotState(
        form.position, form.offset, documents, form.removed, form.verdicts, form.checkpoint_through
    )


def is_usable_checkpoint(record: Record, start: int) -> bool:
    """Returns whether a record is a checkpoint of a supported version that leaves no gap.

    A gap arises if the log starts after the first record that the checkpoint does not include.
    """
    value = record.value
    if not isinstance(value, dict) or value.get("type") != "checkpoint":
        return False
    through = value.get("through")
    return (
        type(value.get("schema")) is int
        and value["schema"] == SCHEMA
        and type(through) is int
        and start <= raw_offset(through) + 1
        and through < record.offset
    )


def is_prefix(records: Iterable[Record], through: int) -> bool:
    """Returns whether the records up to `through` are those that its offset separates.

    They are not if a checkpoint was written by a host that had not noticed that the log lost the
    records that the checkpoint covers.
    """
    return all(
        (record.offset <= through) == (raw_offset(record.offset) <= raw_offset(through))
        for record in records
    )


def decode_content(value: Mapping[str, Any]) -> bytes | None:
    """Decodes the content of a checkpoint; returns None if it does not match the digest."""
    content = value.get("content")
    if not isinstance(content, str):
        return None
    try:
        data = base64.b64decode(content, validate=True)
    except (binascii.Error, ValueError):
        return None
    return data if hashlib.sha256(data).hexdigest() == value.get("digest") else None


def valid_snapshot(value: Mapping[str, Any]) -> bytes | None:
    """Returns the snapshot in a checkpoint, or None if digest, structure or position is wrong."""
    data = decode_content(value)
    if data is None:
        return None
    try:
        state = read_snapshot(data)
    except InvalidSnapshot:
        return None
    return data if state.position == value["through"] + 1 else None
