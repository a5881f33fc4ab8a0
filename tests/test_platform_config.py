"""The configuration of the platform's program: accepted settings, and the error for each invalid setting."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from platform_fixture import CLASS, Client, PlatformFixture, WorkerStub, configuration, echo, run

from kelptrail.codec import frames
from kelptrail.engine.settings import read_settings as read_settings
from kelptrail.platform import config
from kelptrail.platform.service import Service

INVALID_VALUES: list[tuple[str, list[Any]]] = [  # path of a setting and invalid values for it
    ("name", [3]),
    ("listen", ["127.0.0.1", "127.0.0.1:65536", "127.0.0.1:\u0663"]),
    ("seed", ["", "xyz", 5]),
    ("journal", [":9", 9]),
    ("limits.sockets", [0, 2.5, True]),
    ("limits.memory_mb", [0, "64", float("nan")]),
    ("settings.my_zone", [-1, 2, "a"]),
    ("settings.failure_domains", [[], "a", [1]]),
    ("settings.models", [[], [""]]),
    ("settings.report.fields", ["cpu", [None]]),
    ("settings.classes", [[], {}, [3], [CLASS, CLASS]]),
    ("settings.classes.0.name", ["", 3]),
    ("settings.classes.0.aim_us", [0, float("inf"), 10**400]),
    ("settings.classes.0.gain", [0, -1]),
    ("settings.classes.0.effect", ["sometimes"]),
    ("settings.classes.0.give_up_us", [0]),
    ("settings.classes.0.late_worth", ["0.3"]),
    ("settings.classes.1.window_us", [-1]),
    ("settings.customers.0.allowance_per_s", [-1, "5"]),
    ("settings.customers", [{}, [{"name": "a", "allowance_per_s": 0}]]),
    ("settings.bounds.max_attempts", [0, 1.5, False]),
    ("settings.bounds.parallel_tries", [1, "true"]),
    ("settings.bounds.may_cancel", [0]),
    ("settings.bounds.retry_after", ["no"]),
    ("settings.bounds.max_retry_after_us", [-1]),
    ("settings.bounds.connect_timeout_us", [0]),
    ("settings.bounds.idle_close_us", [0]),
    ("settings.bounds.multiplex", [0]),
    ("settings.rules.tip_multiple", [-3]),
    ("settings.rules.fall_us", [0]),
    ("settings.rules.start_capacity", [1.5, -0.1]),
    ("settings.rules.cold_us", ["9"]),
    ("settings.specifics.says_warm", [None, 1]),
    ("settings.specifics.idle_life_us", [-1]),
    ("settings.specifics.load_control", ["yes"]),
    ("settings.specifics.free_loads", [-6]),
    ("settings.specifics.load_share", [[]]),
    ("settings.specifics.load_span_us", [-1]),
    ("settings.specifics.answer_within_us", [0]),
    ("settings.specifics.machine_mb", [[], [0], ["big"], 5]),
]


@pytest.mark.parametrize(("path", "invalid"), INVALID_VALUES, ids=[path for path, _ in INVALID_VALUES])
def test_a_missing_or_invalid_setting_is_reported_by_name(path: str, invalid: list[Any]) -> None:
    running = config.parse(json.dumps(configuration()))
    *parents, last = path.split(".")
    reported_path = "".join(f"[{key}]" if key.isdecimal() else f".{key}" for key in [*parents, last]).replace(
        ".", "", 1
    )
    for value in ["missing", *invalid]:
        raw = configuration()
        container: Any = raw
        for key in parents:
            container = container[int(key) if key.isdecimal() else key]
        if value == "missing" and last == "customers":
            continue  # optional: a deployment may have no tenants
        if value == "missing":
            del container[last]
        else:
            container[last] = value
        # A reload on SIGHUP neither applies nor validates these settings.
        only_at_startup = path.split(".")[0] in ("name", "listen", "seed", "limits")
        for current in [None] if only_at_startup else [None, running]:
            with pytest.raises(config.ConfigError) as raised:
                config.parse(json.dumps(raw), current)
            message = str(raised.value)
            assert reported_path in message and "\n" not in message, message


def test_unknown_settings_and_optional_ones_with_null_are_accepted() -> None:
    raw = configuration()
    raw["settings"]["classes"][0] |= {"colour": "red", "key_scope": None, "window_us": None}
    for part in ("bounds", "rules", "specifics", "report"):
        raw["settings"][part]["unheard_of"] = {"deep": [1]}
    raw |= {"unheard_of": 1}
    raw["settings"]["customers"] = None
    assert config.parse(json.dumps(raw)).sockets.zones == ["a", "b"]


@pytest.mark.parametrize(
    ("effect", "fields", "customers"),
    [
        ("free", ["active", "waiting", "x0"], [{"name": "muelle-a", "allowance_per_s": 7.0}]),
        ("guarded", [], None),
        ("single_shot", ["rps"], [{"name": "muelle-a", "allowance_per_s": 7.0}]),
    ],
)
def test_a_deployment_with_other_names_and_values_is_served(
    effect: str, fields: list[str], customers: list[dict[str, Any]] | None
) -> None:
    def answers(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        meter = b",meter=" + b";".join(b"%b:3.5" % name.encode() for name in fields) if fields else b""
        writer.write(b"%b OK tell=fresh%b %d\r\n%b\r\n" % (id_, meter, len(body), body))

    async def main() -> None:
        worker, raw = WorkerStub(answers), configuration()
        target = raw["known"]["entries"][0]["hosts"]["targets"][0]
        target |= {
            "uid": "s-0badcafe",
            "endpoint": f"127.0.0.1:{await worker.open()}",
            "az": "quay",
            "model": "crane-9",
            "pod_group": 41,
            "capacity_hint": 0.37,
        }
        settings = raw["settings"]
        settings |= {
            "failure_domains": ["pier", "quay", "mole"],
            "my_zone": 2,
            "models": ["cart", "crane-9"],
            "customers": customers,
            "report": {"fields": fields},
            "classes": [
                {
                    "name": "berth",
                    "effect": effect,
                    "aim_us": 77_000,
                    "gain": 0.3,
                    "late_worth": 0.9,
                    "give_up_us": 900_000,
                    "key_scope": "all",
                    "window_us": 450_000,
                }
            ],
        }
        settings["rules"] |= {"tip_multiple": 1.5, "fall_us": 700_000, "start_capacity": 0.9, "cold_us": 300_000}
        settings["bounds"] |= {
            "parallel_tries": False,
            "may_cancel": False,
            "max_attempts": 2,
            "retry_after": False,
            "connect_timeout_us": 90_000,
            "idle_close_us": 1_000_000,
            "multiplex": 3,
        }
        settings["specifics"] |= {
            "says_warm": False,
            "idle_life_us": 900_000,
            "load_control": False,
            "free_loads": 0,
            "load_share": 0,
            "load_span_us": 0,
            "answer_within_us": 800_000,
            "machine_mb": [10.0, 900.0],
            "not_loaded": "load",
        }
        service = Service(asyncio.get_running_loop(), config.parse(json.dumps(raw)))
        client = Client(*await asyncio.open_connection("127.0.0.1", service.open()))
        for n in range(1, 9):
            client.send_request(
                n,
                b"%d" % n,
                verb="berth",
                team="muelle-a" if customers else None,
                limit="850",
                info="lanes:1;memory_mb:899.5",
                unique=f"key:{n}" if effect == "guarded" else None,
            )
            assert await client.next_frame() == (frames.ANSWER, n, b"\0\0%d" % n)
        client.send_request(9, verb="t", team="acme")  # names of another deployment are unknown here
        assert await client.answer_code() == frames.FAILED and len(worker.calls) == 8
        service.close()

    run(main())


def test_loading_on_demand_follows_the_settings() -> None:
    raw = configuration()
    for setting, loads in (("load", True), ("miss", False), (None, False)):
        raw["settings"]["specifics"]["not_loaded"] = setting
        assert read_settings(raw["settings"]).loads_on_demand is loads
    raw["settings"]["specifics"]["not_loaded"] = "perhaps"
    with pytest.raises(config.ConfigError, match=r"specifics\.not_loaded: 'perhaps' is not one of load, miss"):
        config.parse(json.dumps(raw))


@pytest.mark.parametrize("text", ["{", "[]", "{}", "3", "9" * 5000, "[" * 100_000, "\ud800"])
def test_an_invalid_configuration_is_reported_with_its_file_name(tmp_path: Path, text: str) -> None:
    (tmp_path / "c.json").write_bytes(text.encode(errors="surrogatepass"))
    with pytest.raises(config.ConfigError, match=r"c\.json: .*(JSON|object|missing|decode)"):
        config.read(str(tmp_path / "c.json"))


@pytest.mark.parametrize(
    "invalid",
    [
        {"endpoint": "127.0.0.1"},
        {"endpoint": ":5"},
        {"az": "c"},
        {"capacity_hint": 0},
        {"capacity_hint": float("nan")},
        {"state": "odd"},
        {"boot_ms": [1]},
    ],
)
def test_a_worker_in_the_initial_events_must_be_valid(invalid: dict[str, Any]) -> None:
    raw = configuration()
    raw["known"]["entries"][0]["hosts"]["targets"][0].update(invalid)
    with pytest.raises(config.ConfigError, match="known events"):
        config.parse(json.dumps(raw))


def test_an_invalid_setting_prevents_the_start_but_does_not_stop_a_running_dispatcher(tmp_path: Path) -> None:
    command, file = [sys.executable, "-m", "kelptrail.platform"], tmp_path / "c.json"
    invalid = configuration()
    invalid["settings"]["rules"]["fall_us"] = "soon"
    file.write_text(json.dumps(invalid))
    bad = subprocess.run(command, env=os.environ | {"LB_CONFIG": str(file)}, capture_output=True, text=True, timeout=30)
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1 and "settings.rules.fall_us" in bad.stderr

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            file.write_text(json.dumps(platform.configuration))
            process = await asyncio.create_subprocess_exec(
                *command, env=os.environ | {"LB_CONFIG": str(file)}, stdout=asyncio.subprocess.PIPE
            )
            assert process.stdout is not None and b"list number=1" in await process.stdout.readline()
            await asyncio.sleep(0.2)
            file.write_text(
                json.dumps(platform.configuration | {"settings": invalid["settings"], "journal": "127.0.0.1:1"})
            )
            process.send_signal(signal.SIGHUP)
            line = await process.stdout.readline()
            assert b"configuration kept" in line and b"settings.rules.fall_us" in line
            assert len(platform.polled_from) == 2, "the endpoint list was not polled once after each start"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(main())
