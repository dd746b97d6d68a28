"""Configuration files: schemas, consistency rules between files, and parsing."""

from __future__ import annotations

import functools
import json
import re
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import jsonschema

from savoryfork import defaults
from savoryfork.errors import UserError
from savoryfork.pipeline import (
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
from savoryfork.settings import Problem

MAX_PROBLEMS = 20
MAX_REASON_LENGTH = 200

# `\Z` instead of `$`, which would accept a trailing newline.
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}\Z"
PATH_PATTERN = re.compile(r"^(service|pipeline|workspace)/([a-z0-9][a-z0-9-]{0,62})\.json\Z")

STAGE_SERVICE_KINDS = {
    "encode": "encoder",
    "retrieve": "retriever",
    "rerank": "reranker",
    "generate": "engine",
    "action": "plain",
}

STAGE_TYPES = list(STAGE_SERVICE_KINDS)


def object_schema(required: Iterable[str], **properties: Any) -> dict[str, Any]:
    """Returns the schema of an object with no fields other than `properties`."""
    return {
        "type": "object",
        "additionalProperties": False,
        "required": list(required),
        "properties": properties,
    }


REFERENCE_SCHEMA = {"type": "string", "pattern": NAME_PATTERN}
WEIGHTS_SCHEMA = {"type": "string", "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z"}
SHARE_SCHEMA = {"type": "number", "minimum": 0, "maximum": 1}

# The floating-point sum of shares such as 0.1, 0.2 and 0.7 can slightly exceed 1.
ROUNDING_TOLERANCE = 1e-9

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
        version=WEIGHTS_SCHEMA,
        adapters={"type": "array", "maxItems": 64, "uniqueItems": True, "items": WEIGHTS_SCHEMA},
        roles=object_schema([], prefill=SHARE_SCHEMA, decode=SHARE_SCHEMA, both=SHARE_SCHEMA),
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
        pipelines={
            "type": "array",
            "maxItems": 256,
            "uniqueItems": True,
            "items": REFERENCE_SCHEMA,
        },
        share={"type": "number", "exclusiveMinimum": 0, "maximum": 1_000},
    ),
}

STAGE_BASE = {"type": {"enum": STAGE_TYPES}, "name": REFERENCE_SCHEMA, "service": REFERENCE_SCHEMA}
COUNT_SCHEMA = {"type": "integer", "minimum": 1, "maximum": 10_000}

STAGE_SCHEMAS: dict[str, dict[str, Any]] = {
    "encode": object_schema(["type", "name", "service"], **STAGE_BASE),
    "retrieve": object_schema(
        ["type", "name", "service", "top_k"], **STAGE_BASE, top_k=COUNT_SCHEMA
    ),
    "rerank": object_schema(["type", "name", "service", "top_n"], **STAGE_BASE, top_n=COUNT_SCHEMA),
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

FILE_VALIDATORS = {k: jsonschema.Draft202012Validator(s) for k, s in FILE_SCHEMAS.items()}
STAGE_VALIDATORS = {k: jsonschema.Draft202012Validator(s) for k, s in STAGE_SCHEMAS.items()}

Item = Service | Pipeline | Workspace


def name_of(path: str) -> str:
    """Returns the name of the item that a file defines.

    >>> name_of("service/fornaio.json")
    'fornaio'
    """
    return path.partition("/")[2].removesuffix(".json")


# Validation of single files.


def unknown_field_reason(field: str) -> str:
    """Explains why a field is rejected, with a hint if only its unit is wrong."""
    stem, _, unit = field.rpartition("_")
    if unit in ("s", "sec", "secs", "seconds", "us", "min", "minutes", "millis") and stem:
        return f"unknown field {field!r}: durations are in milliseconds, use {stem + '_ms'!r}"
    if field in ("deadline", "timeout", "window"):
        return f"unknown field {field!r}: fields carry their unit, such as {field + '_ms'!r}"
    return f"unknown field {field!r}; remove it or correct its name"


def schema_problems(
    validator: Any, file: str, document: Any, prefix: tuple[str | int, ...] = ()
) -> Iterator[Problem]:
    """Converts the validator's errors into one problem per fault."""
    for error in validator.iter_errors(document):
        where = (*prefix, *error.absolute_path)
        path = "/".join(map(str, where)) or "."
        if error.validator == "additionalProperties" and error.validator_value is False:
            known = error.schema["properties"]
            for field in error.instance:
                if field not in known:
                    yield Problem(file, path, unknown_field_reason(field)[:MAX_REASON_LENGTH])
        elif error.validator == "required":
            for field in error.validator_value:
                if field not in error.instance and f"{field!r} is" in error.message:
                    yield Problem(file, path, f"field {field!r} is missing")
        else:
            yield Problem(file, path, problem_reason(error)[:MAX_REASON_LENGTH])


def problem_reason(error: Any) -> str:
    """Describes one error for an operator.

    Attainment is often given in per cent by mistake. The value of a key digest is never included,
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
    """Validates one file on its own, without its references to other files."""
    match = PATH_PATTERN.match(path)
    if match is None:
        reason = "the path must be service/NAME.json, pipeline/NAME.json or workspace/NAME.json"
        return [Problem(path[:MAX_REASON_LENGTH], ".", reason)]
    kind = match[1]
    problems = list(schema_problems(FILE_VALIDATORS[kind], path, document))
    if not isinstance(document, dict):
        return problems
    if kind == "service":
        problems += service_problems(path, document)
    elif kind == "pipeline" and isinstance(document.get("stages"), list):
        for index, stage in enumerate(document["stages"][:16]):
            problems += stage_problems(path, index, stage)
        # An unknown stage type is reported once, without the errors that follow from it.
        if all(isinstance(s, dict) and s.get("type") in STAGE_TYPES for s in document["stages"]):
            problems += stage_order_problems(path, document["stages"][:16])
    return problems


def service_problems(path: str, document: dict[str, Any]) -> Iterator[Problem]:
    """Checks the rules between the fields of one service."""
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
        if sum(shares) > 1 + ROUNDING_TOLERANCE:
            yield Problem(path, "roles", "the shares of targets must not add up to more than 1")


def stage_problems(path: str, index: int, stage: Any) -> Iterator[Problem]:
    """Validates one stage against the schema of its type."""
    if not isinstance(stage, dict):
        return
    kind = stage.get("type")
    if not isinstance(kind, str) or kind not in STAGE_VALIDATORS:
        kinds = ", ".join(STAGE_SERVICE_KINDS)
        yield Problem(path, f"stages/{index}/type", f"the stage type must be one of {kinds}")
        return
    yield from schema_problems(STAGE_VALIDATORS[kind], path, stage, ("stages", index))


def stage_order_problems(path: str, stages: list[Any]) -> Iterator[Problem]:
    """Checks the rules between the stages of one pipeline."""
    seen_names: set[str] = set()
    seen_types: set[str] = set()
    for index, stage in enumerate(stages):
        name, kind = stage.get("name"), stage["type"]
        if isinstance(name, str):
            if name in seen_names:
                reason = f"stage name {name!r} is used twice"
                yield Problem(path, f"stages/{index}/name", reason[:MAX_REASON_LENGTH])
            seen_names.add(name)
        if kind == "retrieve" and "encode" not in seen_types:
            yield Problem(path, f"stages/{index}", "a retrieve stage needs an earlier encode stage")
        if kind == "rerank" and "retrieve" not in seen_types:
            yield Problem(path, f"stages/{index}", "a rerank stage needs an earlier retrieve stage")
        seen_types.add(kind)


# Parsing. Documents must have been validated.


def parse_service(name: str, document: Mapping[str, Any]) -> Service:
    """Builds a service from its validated file."""
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
    """Builds a stage from its validated object."""
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
    """Builds a pipeline from its validated file."""
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
    """Builds a workspace from its validated file."""
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
    """Builds the item that a validated file defines."""
    kind = path.partition("/")[0]
    return PARSERS[kind](name_of(path), document)


# Rules between files.


def check_pipeline(pipeline: Pipeline, services: Mapping[str, Service | None]) -> list[Problem]:
    """Checks a pipeline against the services; None stands for a service with an invalid file."""
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
        expected = service_kind_for(stage)
        if service.kind != expected:
            reason = f"service {service.name!r} is of type {service.kind}, not {expected}"
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
def service_kind_for(stage: Any) -> str:
    """Returns the kind of service that a stage calls."""
    raise TypeError(f"unknown stage {stage!r}")


service_kind_for.register(EncodeStage, lambda stage: "encoder")
service_kind_for.register(RetrieveStage, lambda stage: "retriever")
service_kind_for.register(RerankStage, lambda stage: "reranker")
service_kind_for.register(GenerateStage, lambda stage: "engine")
service_kind_for.register(ActionStage, lambda stage: "plain")


def check_workspace(workspace: Workspace, pipelines: Iterable[str]) -> list[Problem]:
    """Checks that the pipelines of a workspace exist; `pipelines` must be a set or mapping."""
    file = f"workspace/{workspace.name}.json"
    return [
        Problem(file, f"pipelines/{index}", f"there is no pipeline {name!r}")
        for index, name in enumerate(workspace.pipelines)
        if name not in pipelines
    ]


# Whole sets of files, for the command-line tool and for experiments.


def check_files(files: Mapping[str, Any]) -> list[Problem]:
    """Validates a complete set of files; returns every problem of every file, sorted.

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
        if PATH_PATTERN.match(path) is None:
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
    """Builds a configuration from a complete set of files; raises UserError with all problems."""
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


def object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a JSON object; raises ValueError for a duplicate field.

    The first value of the field would otherwise be lost silently.
    """
    found = dict(pairs)
    if len(found) != len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"field {duplicate!r} is given twice")
    return found


def reject_constant(name: str) -> Any:
    """Rejects NaN and the infinities, which are not JSON."""
    raise ValueError(f"{name} is not JSON")


def load_file(path: Path) -> Any:
    """Reads one JSON file; raises UserError with the location of the fault."""
    try:
        text = path.read_text(encoding="utf-8")
        return json.loads(
            text, object_pairs_hook=object_without_duplicates, parse_constant=reject_constant
        )
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except json.JSONDecodeError as error:
        raise UserError(f"{path}:{error.lineno}: not JSON: {error.msg}") from error
    except (ValueError, RecursionError) as error:
        raise UserError(f"{path}: not JSON: {error}") from error


def load_directory(path: str | Path) -> dict[str, object]:
    """Reads the files of a directory as {relative path: decoded file}, without validating them.

    Includes `*.json` files at any depth, so that a misplaced file is reported by validation rather
    than ignored. Hidden files and directories are skipped. Raises UserError if the directory has no
    such file or one can't be read.
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
