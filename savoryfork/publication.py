"""Operators' files: their schema, the records that publish them and the fold over these records."""

from __future__ import annotations

import base64
import binascii
import functools
import hashlib
import json
import logging
import re
import sys
import zlib
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple

import jsonschema
import msgspec
import xxhash

from savoryfork import defaults
from savoryfork.errors import UserError
from savoryfork.pipeline import (
    EMPTY,
    ActionStage,
    Configuration,
    EncodeStage,
    GenerateStage,
    Objective,
    Pipeline,
    RerankStage,
    RetrieveStage,
    Service,
    Stage,
    Workspace,
)
from savoryfork.util import logs
from savoryfork.util.topic import Fold, Page, Record

log = logging.getLogger(__name__)

# The newest schema version that this program knows. Its rules never change once published: every
# host must reach the same verdict from the same record.
SCHEMA = 1

# The base offset of a file that was never published.
ABSENT = -1

# Bounds on what the fold keeps. All but the tail are part of the state and so of schema version 1.
VERDICTS_KEPT = 1_000
REMOVED_KEPT = 2_000
MAX_PROBLEMS = 20
MAX_REASON = 200
MAX_RECORD_DEPTH = 24

# Checking one file takes about 0.12 ms. All hosts fold a publication at the same moment, so it must
# not hold up their event loops for longer than the 28 ms allowed between two tokens.
MAX_FILES = 100

# The tail only saves transfers between hosts, so its size may differ between hosts.
TAIL_BYTES = 1_000_000

MAX_SNAPSHOT_BYTES = 64_000_000

# `\Z` instead of `$`, which would accept a trailing newline.
NAME = r"^[a-z0-9][a-z0-9-]{0,62}\Z"
PATH = re.compile(r"^(service|pipeline|workspace)/([a-z0-9][a-z0-9-]{0,62})\.json\Z")

STAGE_KINDS = {
    "encode": "encoder",
    "retrieve": "retriever",
    "rerank": "reranker",
    "generate": "engine",
    "action": "plain",
}

STAGE_LIST = list(STAGE_KINDS)


def object_schema(required: Iterable[str], **properties: Any) -> dict[str, Any]:
    """The schema of an object without other fields than `properties`."""
    return {
        "type": "object",
        "additionalProperties": False,
        "required": list(required),
        "properties": properties,
    }


REFERENCE = {"type": "string", "pattern": NAME}
WEIGHTS = {"type": "string", "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z"}
SHARE = {"type": "number", "minimum": 0, "maximum": 1}

# Shares such as 0.1, 0.2 and 0.7 may add up to slightly more than 1.
ROUNDING = 1e-9

FILE_SCHEMAS: dict[str, dict[str, Any]] = {
    "service": object_schema(
        ["kind", "type"],
        kind={"const": "service"},
        type={"enum": ["engine", "encoder", "retriever", "reranker", "plain"]},
        idempotent={"type": "boolean"},
        checks_orders={"type": "boolean"},
        dedupes={"type": "boolean"},
        max_inflight={"type": "integer", "minimum": 1, "maximum": 10_000},
        model={"type": "string", "minLength": 1, "maxLength": 200},
        version=WEIGHTS,
        adapters={"type": "array", "maxItems": 64, "uniqueItems": True, "items": WEIGHTS},
        roles=object_schema([], prefill=SHARE, decode=SHARE, both=SHARE),
    ),
    "pipeline": object_schema(
        ["kind", "deadline_ms", "stages"],
        kind={"const": "pipeline"},
        deadline_ms={"type": "integer", "minimum": 1, "maximum": 600_000},
        priority={"type": "integer", "minimum": 0, "maximum": 9},
        objective=object_schema(
            [],
            attainment={"type": "number", "exclusiveMinimum": 0, "exclusiveMaximum": 1},
            window_days={"type": "integer", "minimum": 1, "maximum": 365},
        ),
        stages={"type": "array", "minItems": 1, "maxItems": 16, "items": {"type": "object"}},
    ),
    "workspace": object_schema(
        ["kind", "key_digests", "pipelines"],
        kind={"const": "workspace"},
        key_digests={
            "type": "array",
            "maxItems": 16,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": r"^[0-9a-f]{64}\Z"},
        },
        pipelines={"type": "array", "maxItems": 256, "uniqueItems": True, "items": REFERENCE},
        share={"type": "number", "exclusiveMinimum": 0, "maximum": 1_000},
    ),
}

STAGE_BASE = {"type": {"enum": STAGE_LIST}, "name": REFERENCE, "service": REFERENCE}
COUNT = {"type": "integer", "minimum": 1, "maximum": 10_000}

STAGE_SCHEMAS: dict[str, dict[str, Any]] = {
    "encode": object_schema(["type", "name", "service"], **STAGE_BASE),
    "retrieve": object_schema(["type", "name", "service", "top_k"], **STAGE_BASE, top_k=COUNT),
    "rerank": object_schema(["type", "name", "service", "top_n"], **STAGE_BASE, top_n=COUNT),
    "generate": object_schema(
        ["type", "name", "service", "max_tokens"],
        **STAGE_BASE,
        max_tokens={"type": "integer", "minimum": 1, "maximum": 1_000_000},
    ),
    "action": object_schema(
        ["type", "name", "service", "action"],
        **STAGE_BASE,
        action={"type": "string", "pattern": r"^[a-z0-9][a-z0-9_-]{0,62}\Z"},
    ),
}

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

FILE_VALIDATORS = {k: jsonschema.Draft202012Validator(s) for k, s in FILE_SCHEMAS.items()}
STAGE_VALIDATORS = {k: jsonschema.Draft202012Validator(s) for k, s in STAGE_SCHEMAS.items()}
RECORD_VALIDATOR = jsonschema.Draft202012Validator(RECORD_SCHEMA)

Item = Service | Pipeline | Workspace


class Problem(NamedTuple):
    """One fault of one file; `path` leads to the faulty value, `.` is the whole file."""

    file: str
    path: str
    reason: str


class Verdict(NamedTuple):
    """What the fold decided about one publication.

    `state` is accepted, conflict or invalid; `offset` is that of the publication's first record.
    `paths` are the files that changed since the operator saw them, `digest` identifies the
    content, so that an id used for two different publications is noticed.
    """

    state: str
    offset: int
    paths: tuple[str, ...] = ()
    problems: tuple[Problem, ...] = ()
    digest: str = ""


class Entry(NamedTuple):
    """One published file: the offset that set it and its JSON."""

    offset: int
    raw: bytes


class TailRecord(NamedTuple):
    """One record of the tail, with the JSON of its value."""

    offset: int
    time_ms: int
    value: bytes


class InvalidSnapshot(Exception):
    """A snapshot or checkpoint that can't be read by this program."""


def name_of(path: str) -> str:
    """The name that a file defines.

    >>> name_of("service/fornaio.json")
    'fornaio'
    """
    return path.partition("/")[2].removesuffix(".json")


# Checking of single files.


def unknown_field_reason(field: str) -> str:
    """Says why a field is not accepted, with a hint if only its unit is wrong."""
    stem, _, unit = field.rpartition("_")
    if unit in ("s", "sec", "secs", "seconds", "us", "min", "minutes", "millis") and stem:
        return f"unknown field {field!r}: durations are in milliseconds, use {stem + '_ms'!r}"
    if field in ("deadline", "timeout", "window"):
        return f"unknown field {field!r}: fields carry their unit, such as {field + '_ms'!r}"
    return f"unknown field {field!r}; remove it or correct its name"


def schema_problems(
    validator: Any, file: str, document: Any, prefix: tuple[str | int, ...] = ()
) -> Iterator[Problem]:
    """Turns the validator's errors into one problem per fault."""
    for error in validator.iter_errors(document):
        where = (*prefix, *error.absolute_path)
        path = "/".join(map(str, where)) or "."
        if error.validator == "additionalProperties" and error.validator_value is False:
            known = error.schema["properties"]
            for field in error.instance:
                if field not in known:
                    yield Problem(file, path, unknown_field_reason(field)[:MAX_REASON])
        elif error.validator == "required":
            for field in error.validator_value:
                if field not in error.instance and f"{field!r} is" in error.message:
                    yield Problem(file, path, f"field {field!r} is missing")
        else:
            yield Problem(file, path, reason_of(error)[:MAX_REASON])


def reason_of(error: Any) -> str:
    """Words one error for an operator.

    Attainment is often given in per cent by mistake. The value of a key digest is never repeated,
    because it may be the key itself.
    """
    if "key_digests" in error.absolute_path and error.validator == "pattern":
        return "must be the SHA-256 digest of a caller key: 64 lower-case hexadecimal digits"
    if error.absolute_path and error.absolute_path[-1] == "attainment":
        return f"{error.message}; a share between 0 and 1 is expected, not per cent"
    if error.validator == "type" and str(next(iter(error.path), "")).endswith("_ms"):
        return f"{error.message}; a whole number of milliseconds is expected"
    if error.validator == "maxProperties":
        return f"at most {error.validator_value} files can be published at once"
    return str(error.message)


def check_file(path: str, document: Any) -> list[Problem]:
    """Checks one file by itself; references to other files are not looked at."""
    match = PATH.match(path)
    if match is None:
        reason = "the path must be service/NAME.json, pipeline/NAME.json or workspace/NAME.json"
        return [Problem(path[:MAX_REASON], ".", reason)]
    kind = match[1]
    problems = list(schema_problems(FILE_VALIDATORS[kind], path, document))
    if not isinstance(document, dict):
        return problems
    if kind == "service":
        problems += service_problems(path, document)
    elif kind == "pipeline" and isinstance(document.get("stages"), list):
        for index, stage in enumerate(document["stages"][:16]):
            problems += stage_problems(path, index, stage)
        # An unknown stage type is one fault; what follows from it is not reported as well.
        if all(isinstance(s, dict) and s.get("type") in STAGE_LIST for s in document["stages"]):
            problems += order_problems(path, document["stages"][:16])
    return problems


def service_problems(path: str, document: dict[str, Any]) -> Iterator[Problem]:
    """Rules between the fields of one service."""
    kind = document.get("type")
    if kind == "engine" and "model" not in document:
        yield Problem(path, ".", "field 'model' is missing: an engine serves one model")
    if kind == "plain" and "idempotent" not in document:
        yield Problem(path, ".", "field 'idempotent' is missing: a plain service must state it")
    if kind != "plain" and document.get("idempotent") is False:
        yield Problem(path, "idempotent", "only a plain service may be non-idempotent")
    for field in ("version", "adapters", "roles"):
        if field in document and kind != "engine":
            yield Problem(path, field, "only an engine takes orders; remove the field")
    roles = document.get("roles")
    if isinstance(roles, dict):
        shares = [share for share in roles.values() if type(share) in (int, float)]
        if sum(shares) > 1 + ROUNDING:
            yield Problem(path, "roles", "the shares of targets must not add up to more than 1")


def stage_problems(path: str, index: int, stage: Any) -> Iterator[Problem]:
    """Checks one stage against the schema of its type."""
    if not isinstance(stage, dict):
        return
    kind = stage.get("type")
    if not isinstance(kind, str) or kind not in STAGE_VALIDATORS:
        kinds = ", ".join(STAGE_KINDS)
        yield Problem(path, f"stages/{index}/type", f"the stage type must be one of {kinds}")
        return
    yield from schema_problems(STAGE_VALIDATORS[kind], path, stage, ("stages", index))


def order_problems(path: str, stages: list[Any]) -> Iterator[Problem]:
    """Rules between the stages of one pipeline."""
    seen_names: set[str] = set()
    seen_types: set[str] = set()
    for index, stage in enumerate(stages):
        name, kind = stage.get("name"), stage["type"]
        if isinstance(name, str):
            if name in seen_names:
                reason = f"stage name {name!r} is used twice"
                yield Problem(path, f"stages/{index}/name", reason[:MAX_REASON])
            seen_names.add(name)
        if kind == "retrieve" and "encode" not in seen_types:
            yield Problem(path, f"stages/{index}", "a retrieve stage needs an earlier encode stage")
        if kind == "rerank" and "retrieve" not in seen_types:
            yield Problem(path, f"stages/{index}", "a rerank stage needs an earlier retrieve stage")
        seen_types.add(kind)


# Parsing. Documents must have been checked.


def parse_service(name: str, document: Mapping[str, Any]) -> Service:
    """Builds a service from its checked file."""
    return Service(
        name,
        document["type"],
        document.get("idempotent", True),
        document.get("checks_orders", False),
        document.get("dedupes", False),
        int(document.get("max_inflight", defaults.MAX_TARGET_INFLIGHT)),
        document.get("model", ""),
        document.get("version", ""),
        tuple(sorted(document["adapters"])) if "adapters" in document else None,
        tuple(sorted(document["roles"].items())) if "roles" in document else None,
    )


def parse_stage(document: Mapping[str, Any]) -> Stage:
    """Builds a stage from its checked object."""
    name, service = document["name"], document["service"]
    match document["type"]:
        case "encode":
            return EncodeStage(name, service)
        case "retrieve":
            return RetrieveStage(name, service, int(document["top_k"]))
        case "rerank":
            return RerankStage(name, service, int(document["top_n"]))
        case "generate":
            return GenerateStage(name, service, int(document["max_tokens"]))
        case "action":
            return ActionStage(name, service, document["action"])
    raise ValueError(f"unknown stage type {document['type']!r}")


def parse_pipeline(name: str, document: Mapping[str, Any]) -> Pipeline:
    """Builds a pipeline from its checked file."""
    objective = document.get("objective", {})
    default = Objective()
    return Pipeline(
        name,
        tuple(parse_stage(stage) for stage in document["stages"]),
        int(document["deadline_ms"]),
        int(document.get("priority", 5)),
        Objective(
            float(objective.get("attainment", default.attainment)),
            int(objective.get("window_days", default.window_days)),
        ),
    )


def parse_workspace(name: str, document: Mapping[str, Any]) -> Workspace:
    """Builds a workspace from its checked file."""
    return Workspace(
        name,
        tuple(document["key_digests"]),
        # Interned, since thousands of workspaces name the same few pipelines.
        tuple(sys.intern(name) for name in document["pipelines"]),
        float(document.get("share", 1.0)),
    )


PARSERS: dict[str, Callable[[str, Mapping[str, Any]], Item]] = {
    "service": parse_service,
    "pipeline": parse_pipeline,
    "workspace": parse_workspace,
}


def parse_file(path: str, document: Mapping[str, Any]) -> Item:
    """Builds what a checked file defines."""
    kind = path.partition("/")[0]
    return PARSERS[kind](name_of(path), document)


# Rules between files.


def check_pipeline(pipeline: Pipeline, services: Mapping[str, Service | None]) -> list[Problem]:
    """Checks a pipeline against the services; None stands for one whose own file is faulty."""
    file = f"pipeline/{pipeline.name}.json"
    problems = []
    actions = [stage for stage in pipeline.stages if isinstance(stage, ActionStage)]
    for index, stage in enumerate(pipeline.stages):
        where = f"stages/{index}/service"
        if stage.service not in services:
            problems.append(Problem(file, where, f"there is no service {stage.service!r}"))
            continue
        service = services[stage.service]
        if service is None:
            continue
        wanted = kind_for(stage)
        if service.kind != wanted:
            reason = f"service {service.name!r} is of type {service.kind}, not {wanted}"
            problems.append(Problem(file, where, reason))
        elif (
            isinstance(stage, ActionStage)
            and not service.idempotent
            and (len(actions) > 1 or stage is not pipeline.stages[-1])
        ):
            reason = (
                f"service {service.name!r} is not idempotent: its action must be the last stage"
                " and the only action of the pipeline"
            )
            problems.append(Problem(file, f"stages/{index}", reason))
    return problems


@functools.singledispatch
def kind_for(stage: Any) -> str:
    """The kind of service that a stage calls."""
    raise TypeError(f"unknown stage {stage!r}")


kind_for.register(EncodeStage, lambda stage: "encoder")
kind_for.register(RetrieveStage, lambda stage: "retriever")
kind_for.register(RerankStage, lambda stage: "reranker")
kind_for.register(GenerateStage, lambda stage: "engine")
kind_for.register(ActionStage, lambda stage: "plain")


def check_workspace(workspace: Workspace, pipelines: Iterable[str]) -> list[Problem]:
    """Checks that the pipelines which a workspace names exist; `pipelines` must be a set or map."""
    file = f"workspace/{workspace.name}.json"
    return [
        Problem(file, f"pipelines/{index}", f"there is no pipeline {name!r}")
        for index, name in enumerate(workspace.pipelines)
        if name not in pipelines
    ]


def depth_within(value: Any, limit: int) -> bool:
    """True if a JSON value is nested at most `limit` deep; needs no recursion itself."""
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
    """The JSON of a value, with sorted keys so that equal values give equal bytes."""
    return msgspec.json.encode(value, order="deterministic")


def publication_record(
    publication_id: str, operator: str, base: Mapping[str, int], files: Mapping[str, Any]
) -> dict[str, Any]:
    """The log record that publishes `files`; None removes a file."""
    return {
        "schema": SCHEMA,
        "type": "publish",
        "id": publication_id,
        "operator": operator,
        "base": dict(base),
        "files": dict(files),
    }


def content_digest(files: Any) -> str:
    """Identifies the files of a publication.

    The base is left out: an operator who repeats an id after a lost answer may have seen the
    publication's own effect meanwhile.
    """
    return xxhash.xxh3_64_hexdigest(encode(files))


def check_record(value: Any) -> list[Problem]:
    """Checks the form of a publish record, and each of its files by itself."""
    if not depth_within(value, MAX_RECORD_DEPTH):
        return [Problem("", ".", "the publication is nested too deeply")]
    problems = list(schema_problems(RECORD_VALIDATOR, "", value))
    if problems:
        return problems
    for path, document in sorted(value["files"].items()):
        if document is not None or PATH.match(path) is None:
            problems += check_file(path, document)
    return problems


class Changes(NamedTuple):
    """Checked changes, ready to be put into effect; None removes an item."""

    services: dict[str, Service | None]
    pipelines: dict[str, Pipeline | None]
    workspaces: dict[str, Workspace | None]


def patched(old: Mapping[str, Any], changes: Mapping[str, Any]) -> Mapping[str, Any]:
    """A copy of a mapping with changes; the same object if there are none."""
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

    A publication is judged against the state left by the records before it, so every host gives
    the same verdict. Only changed files and the files that refer to them are checked: at 2,800
    workspaces and 4,700 changes a day a full check for each change would exceed the CPU budget.
    For that, `users` maps each service and pipeline path to the paths of the files naming it.

    A removed file keeps the offset of its removal as base. Otherwise a publication that lands a
    second time after the removal would find its base current and bring the file back.
    """

    def __init__(self) -> None:
        self.position = 0
        self.configuration: Configuration = EMPTY
        self.files: dict[str, Entry] = {}
        self.removed: OrderedDict[str, int] = OrderedDict()
        self.verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self.users: dict[str, set[str]] = {}
        self.stopped_at: int | None = None
        self.checkpoint_through = -1
        self.tail: deque[TailRecord] = deque()
        self.tail_start = 0
        self.tail_bytes = 0
        self.snapshot_cache: tuple[int, bytes] | None = None

    # The fold itself.

    def apply(self, record: Record) -> None:
        """Applies one record; never raises, whatever the record holds."""
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
        # The tail is only read from a position on, so nobody needs a checkpoint's content from it.
        kept = {key: value[key] for key in value if key != "content"}
        try:
            raw = encode(kept)
        except (ValueError, OverflowError, RecursionError, TypeError):
            # A record that can't be passed on to other hosts must have no effect on any host.
            value, raw = {}, b"{}"
        if type(schema) is int and schema == SCHEMA:
            self.apply_known(record.offset, value)
        self.remember(TailRecord(record.offset, record.time_ms, raw))

    def apply_known(self, offset: int, value: dict[str, Any]) -> None:
        """Applies a record of the present schema version; other types have no effect."""
        if value.get("type") == "publish":
            self.apply_publication(offset, value)
        elif value.get("type") == "checkpoint":
            through = value.get("through")
            # Without content the record came from another host, which has checked the digest.
            intact = "content" not in value or checkpoint_data(value) is not None
            if type(through) is int and through < offset and intact:
                self.checkpoint_through = max(self.checkpoint_through, through)

    def apply_publication(self, offset: int, value: dict[str, Any]) -> None:
        """Judges a publication and puts it into effect if it is accepted."""
        publication_id = value.get("id")
        if not isinstance(publication_id, str) or not 0 < len(publication_id) <= 64:
            return
        if publication_id in self.verdicts or not depth_within(value, MAX_RECORD_DEPTH):
            return
        verdict, changes = self.judge(offset, value)
        self.verdicts[publication_id] = verdict
        if len(self.verdicts) > VERDICTS_KEPT:
            self.verdicts.popitem(last=False)
        if changes is not None:
            self.put_into_effect(offset, value["files"], changes)

    def judge(self, offset: int, value: dict[str, Any]) -> tuple[Verdict, Changes | None]:
        """Decides about a publish record against the present state, without changing it."""
        problems = check_record(value)
        changes = Changes({}, {}, {})
        digest = "" if problems else content_digest(value["files"])
        if not problems:
            conflicts = self.conflicts(value["base"], value["files"])
            if conflicts:
                return Verdict("conflict", offset, conflicts[:100], (), digest), None
            changes, problems = self.check_changes(value["files"])
        if problems:
            first = tuple(sorted(problems)[:MAX_PROBLEMS])
            return Verdict("invalid", offset, (), first, digest), None
        return Verdict("accepted", offset, (), (), digest), changes

    def base_of(self, path: str) -> int:
        """The offset that last set or removed a file, ABSENT if it was never published."""
        entry = self.files.get(path)
        return entry.offset if entry is not None else self.removed.get(path, ABSENT)

    def conflicts(self, base: Mapping[str, int], files: Iterable[str]) -> tuple[str, ...]:
        """The paths whose offset is not the one that the operator saw."""
        return tuple(
            path for path in sorted({*base, *files}) if base.get(path, ABSENT) != self.base_of(path)
        )

    def check_changes(self, files: Mapping[str, Any]) -> tuple[Changes, list[Problem]]:
        """Checks changed files, whose form must be right, and what refers to them."""
        changes = Changes({}, {}, {})
        problems = []
        affected = set()
        for path, document in files.items():
            kind = path.partition("/")[0]
            item = None if document is None else parse_file(path, document)
            if item is None and path not in self.files:
                problems.append(Problem(path, ".", "there is no such file to remove"))
            getattr(changes, f"{kind}s")[name_of(path)] = item
            # A pipeline that stays needs no look at the workspaces that name it.
            if kind == "service" or item is None:
                affected |= self.users.get(path, set())
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

    def put_into_effect(self, offset: int, files: Mapping[str, Any], changes: Changes) -> None:
        """Replaces the configuration; the old one stays valid for the runs that pinned it."""
        old = self.configuration
        for path, document in sorted(files.items()):
            self.unlink(path, old)
            if document is None:
                del self.files[path]
                self.removed[path] = offset
                if len(self.removed) > REMOVED_KEPT:
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
            self.link(path, self.configuration)

    def link(self, path: str, configuration: Configuration) -> None:
        """Notes what a file refers to."""
        for target in references(path, configuration):
            self.users.setdefault(target, set()).add(path)

    def unlink(self, path: str, configuration: Configuration) -> None:
        """Forgets what a file referred to."""
        for target in references(path, configuration):
            users = self.users.get(target, set())
            users.discard(path)
            if not users:
                self.users.pop(target, None)

    # What other hosts need to catch up.

    def remember(self, record: TailRecord) -> None:
        """Keeps the newest records for other hosts, bounded by number and bytes."""
        self.tail.append(record)
        self.tail_bytes += len(record.value)
        while len(self.tail) > defaults.CONFIG_TAIL_RECORDS or self.tail_bytes > TAIL_BYTES:
            dropped = self.tail.popleft()
            self.tail_bytes -= len(dropped.value)
            self.tail_start = dropped.offset + 1

    def records_from(self, position: int, max_bytes: int) -> list[TailRecord] | None:
        """The records from `position` on, up to about `max_bytes`; None if no longer at hand."""
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
        """The whole state as compressed JSON; equal states at one position give equal states."""
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

    def adopt(self, snapshot: bytes) -> bool:
        """Takes over another host's state if it is ahead; returns whether it did.

        Neither the position nor the offset in effect ever goes back. A snapshot is the result of
        checks that its host made, so its files are parsed but not checked again.
        """
        if self.stopped_at is not None:
            return False
        try:
            state = read_snapshot(snapshot)
        except InvalidSnapshot as error:
            logs.event(log, "config_snapshot_refused", logging.WARNING, reason=str(error))
            return False
        if state.position <= self.position or state.offset < self.configuration.offset:
            return False
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
        self.users = {}
        for path in items:
            self.link(path, self.configuration)
        self.checkpoint_through = max(self.checkpoint_through, state.checkpoint_through)
        self.tail.clear()
        self.tail_bytes = 0
        self.tail_start = self.position
        self.snapshot_cache = None
        return True

    def checkpoint(self, record_id: str) -> dict[str, Any]:
        """The record that lets a reader start without the records up to `through`."""
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
        """Restarts from the checkpoint that reaches furthest and folds all records above it.

        Those above `through` include the ones that lie before the checkpoint's own record: they
        were appended while its writer was preparing it.
        """
        if self.position >= page.start:
            # Another host's records or snapshot arrived while the page was being read.
            for record in page.records:
                self.apply(record)
            return True
        candidates = sorted(
            (record for record in page.records if usable(record, page.start)),
            key=lambda record: record.value["through"],
            reverse=True,
        )
        for candidate in candidates:
            content = checkpoint_content(candidate.value)
            if content is None or not self.adopt(content):
                continue
            for record in page.records:
                self.apply(record)
            return True
        return False


def references(path: str, configuration: Configuration) -> set[str]:
    """The paths that a file of this configuration refers to."""
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
    """The JSON form of a snapshot of schema version 1."""

    schema: int
    position: int
    offset: int
    files: dict[str, tuple[int, dict[str, Any]]]
    removed: list[tuple[str, int]]
    verdicts: list[tuple[str, Verdict]]
    checkpoint_through: int


def read_snapshot(snapshot: bytes) -> SnapshotState:
    """Decodes a snapshot; raises InvalidSnapshot if its version or form is not known."""
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(snapshot, MAX_SNAPSHOT_BYTES)
        if not inflater.eof:
            raise InvalidSnapshot("the snapshot is cut off or too large")
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


def usable(record: Record, start: int) -> bool:
    """True if a record is a checkpoint of a known version that reaches the log's start."""
    value = record.value
    if not isinstance(value, dict) or value.get("type") != "checkpoint":
        return False
    through = value.get("through")
    return (
        type(value.get("schema")) is int
        and value["schema"] == SCHEMA
        and type(through) is int
        and start <= through + 1 <= record.offset
    )


def checkpoint_data(value: Mapping[str, Any]) -> bytes | None:
    """The bytes in a checkpoint; None if they do not fit its digest."""
    content = value.get("content")
    if not isinstance(content, str):
        return None
    try:
        data = base64.b64decode(content, validate=True)
    except (binascii.Error, ValueError):
        return None
    return data if hashlib.sha256(data).hexdigest() == value.get("digest") else None


def checkpoint_content(value: Mapping[str, Any]) -> bytes | None:
    """The snapshot in a checkpoint; None if its digest, form or position does not fit."""
    data = checkpoint_data(value)
    if data is None:
        return None
    try:
        state = read_snapshot(data)
    except InvalidSnapshot:
        return None
    return data if state.position == value["through"] + 1 else None


# Whole sets of files, as the command-line tool and trials use them.


def check_files(files: Mapping[str, Any]) -> list[Problem]:
    """Checks a whole set of files by itself: every fault of every file, sorted.

    >>> check_files({"workspace/a.json": {"kind": "workspace", "key_digests": [],
    ...                                   "pipelines": ["b"]}})
    [Problem(file='workspace/a.json', path='pipelines/0', reason="there is no pipeline 'b'")]
    """
    problems: list[Problem] = []
    services: dict[str, Service | None] = {}
    pipelines: dict[str, Pipeline | None] = {}
    workspaces: dict[str, Workspace] = {}
    for path, document in files.items():
        found = check_file(path, document)
        problems += found
        if PATH.match(path) is None:
            continue
        item = None if found else parse_file(path, document)
        kind, name = path.partition("/")[0], name_of(path)
        if kind == "service":
            services[name] = item if isinstance(item, Service) else None
        elif kind == "pipeline":
            pipelines[name] = item if isinstance(item, Pipeline) else None
        elif isinstance(item, Workspace):
            workspaces[name] = item
    for pipeline in pipelines.values():
        if pipeline is not None:
            problems += check_pipeline(pipeline, services)
    for workspace in workspaces.values():
        problems += check_workspace(workspace, pipelines)
    return sorted(problems)


def parse_files(files: Mapping[str, Any], offset: int = 0) -> Configuration:
    """Builds a configuration from a whole set of files; raises UserError with all problems."""
    problems = check_files(files)
    if problems:
        raise UserError("\n".join(f"{p.file}: {p.path}: {p.reason}" for p in problems))
    items = [parse_file(path, document) for path, document in sorted(files.items())]
    return Configuration(
        offset,
        {item.name: item for item in items if isinstance(item, Service)},
        {item.name: item for item in items if isinstance(item, Pipeline)},
        {item.name: item for item in items if isinstance(item, Workspace)},
    )


def unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds an object; a field given twice would otherwise silently lose its first value."""
    found = dict(pairs)
    if len(found) != len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"field {twice!r} is given twice")
    return found


def refuse_constant(name: str) -> Any:
    """Refuses NaN and the infinities, which are not JSON."""
    raise ValueError(f"{name} is not JSON")


def load_file(path: Path) -> Any:
    """Reads one JSON file; raises UserError with the place of the fault."""
    try:
        text = path.read_text(encoding="utf-8")
        return json.loads(text, object_pairs_hook=unique_pairs, parse_constant=refuse_constant)
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except json.JSONDecodeError as error:
        raise UserError(f"{path}:{error.lineno}: not JSON: {error.msg}") from error
    except (ValueError, RecursionError) as error:
        raise UserError(f"{path}: not JSON: {error}") from error


def load_directory(path: str | Path) -> dict[str, object]:
    """Reads the files of a directory as {relative path: decoded file}, without checking them.

    Every `*.json` file at any depth counts, so that a misplaced one is reported by the checks
    instead of being left out. Hidden files and directories are skipped. Raises UserError if the
    directory holds none or one can't be read.
    """
    root = Path(path)
    if not root.is_dir():
        raise UserError(f"{root}: not a directory")
    files: dict[str, object] = {}
    for file in sorted(root.rglob("*.json")):
        relative = file.relative_to(root)
        if not any(part.startswith(".") for part in relative.parts):
            files[relative.as_posix()] = load_file(file)
    if not files:
        raise UserError(f"{root}: no .json files")
    return files
