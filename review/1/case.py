"""Two stores lose their disks, one at a time, while kept turns are large."""

import asyncio
import os
import random
import shutil
import sys
from collections import defaultdict

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as base

DRAFT = "/lohu930/"
MOST, TURN_RETENTION_S = 72, 60.0
# A turn's input: 100,000 tokens of 4 bytes. An engine of the site holds 127,559 tokens, and the
# configuration takes bodies of 4,194,304 bytes.
LARGE_TOKENS = int(os.environ.get("LARGE_TOKENS", 100_000))
LARGE_TURNS = 150
# `CatchUpS` is 4.3 s: from then on the next loss may come. `RecoveryS` is 12 s.
DOWN_S, BETWEEN_S, RECOVERY_S, WINDOW_S, TRIES = 1.0, 15.0, 12.0, 4.0, 6


async def turn(lab, program, previous, tokens, kind, deadline=4.0):
    """One try of a turn. Returns its identifier and its answer."""
    request = base.request_id()
    headers = [("Request-Id", request), ("Model", "m"), ("Token-Count", f"{tokens},{MOST}"),
               ("Prompt-Prefix", f"5c1e07a2:512,{request[:8]}:{max(1, tokens - 512)}"),
               ("Deadline-Ms", str(int(deadline * 1000))), ("Program-Id", program),
               ("Session-Id", program[:6]), ("Finish-Ms", "60000"), ("Token-Budget", "100000")]
    if previous:
        headers.append(("Previous-Turn", previous))
    front = random.randrange(lab.front_count)
    sent_at = lab.record.now()
    answer = await base.exchange(lab.front_address(front), "POST", f"{DRAFT}4b", headers,
                                 b"word" * tokens, deadline + 0.5)
    lab.tries.append((sent_at, answer.status == 200 and answer.complete))
    lab.record("answer", f"{request} {kind} turn of {program}, sent at {sent_at:.3f} to front-{front}: {answer}")
    if answer.status == 200 and answer.complete:
        lab.kept[program] = (request, lab.record.now())
    return request, answer


async def wipe(lab, number):
    """A store is killed and comes back with an empty disk."""
    process = lab.processes[f"store-{number}"]
    process.kill()
    process.wait()
    shutil.rmtree(os.path.join(lab.folder, f"data-{number}"))
    lab.record("wiped", f"store-{number}: killed, its disk is lost")
    await asyncio.sleep(DOWN_S)
    lab.start_process("store", number, bootstrap=False)


async def wait_until_served(lab):
    """The stores form their group some seconds after their start."""
    for _ in range(60):
        _, answer = await turn(lab, f"w-{base.request_id()[:10]}", None, 327, "waiting")
        if answer.status == 200:
            return
        await asyncio.sleep(0.4)
    raise base.CannotRun("no turn was served at the start")


async def small_programs(lab):
    """Programs of two small turns, all the time."""
    while True:
        program = f"s-{base.request_id()[:10]}"
        previous, answer = await turn(lab, program, None, 327, "first")
        if answer.status == 200:
            await asyncio.sleep(0.15)
            await turn(lab, program, previous, 327, "second")
        await asyncio.sleep(0.15)


async def go_on(lab, program, kept_turn, ends_at):
    """Tries to continue a kept turn until the end; returns whether a try reached a replica."""
    reached, tries = False, 0
    while lab.record.now() < ends_at and not reached:
        started = lab.record.now()
        request, _ = await turn(lab, program, kept_turn, 327, "continuing", deadline=1.0)
        tries += 1
        reached = request in lab.runs
        await asyncio.sleep(max(0.0, started + WINDOW_S / (TRIES + 1) - lab.record.now()))
    return reached, tries


async def play(lab, trouble):
    lab.tries, lab.kept, lab.runs, lab.most_running = [], {}, set(), 0

    def note_run(replica, headers, body):
        lab.runs.add(headers["request-id"])
        lab.most_running = max(lab.most_running, replica.running)
        lab.record("run", f"{headers['request-id']} at {replica.id}, {len(body)} bytes")

    lab.note_run = note_run
    lab.put_config(7, [base.agent_route("r-draft", DRAFT, 1, True, False, TURN_RETENTION_S)],
                   [base.ENGINE_SERVICE])
    for number in range(11):
        zone = base.ZONES[number % len(base.ZONES)]
        await base.EngineReplica(lab, base.ENGINE_SERVICE["Name"], lab.replica_address(), zone, 12).start()
    await lab.start_processes()
    await lab.wait_until_ready()
    await wait_until_served(lab)
    for _ in range(LARGE_TURNS // 10):
        names = [f"l-{base.request_id()[:10]}" for _ in range(10)]
        await asyncio.gather(*(turn(lab, name, None, LARGE_TOKENS, "large") for name in names))
    large = [name for name in lab.kept if name.startswith("l-")]
    traffic = [asyncio.create_task(small_programs(lab)) for _ in range(4)]
    await asyncio.sleep(2.0)
    if len(large) < LARGE_TURNS * 0.9:
        raise base.CannotRun(f"only {len(large)} of {LARGE_TURNS} large turns were kept")
    if trouble:
        await wipe(lab, 3)
    await asyncio.sleep(BETWEEN_S)
    before = [served for sent_at, served in lab.tries if sent_at > lab.record.now() - 5.0]
    # The final fault: the one disk that `FaultTolerance` allows.
    if trouble:
        await wipe(lab, 2)
    back_at = lab.record.now()
    lab.record("back", "all machines run")
    await asyncio.sleep(RECOVERY_S)
    lab.most_running = 0
    judged = random.sample(large, 20) + [name for name in lab.kept if name.startswith("s-")][-20:]
    ends_at = lab.record.now() + WINDOW_S
    kept = {name: lab.kept[name] for name in judged}
    outcomes = await asyncio.gather(*(go_on(lab, name, kept[name][0], ends_at) for name in judged))
    for task in traffic:
        task.cancel()
    lab.check_alive()
    lost = 0
    for name, (reached, tries) in zip(judged, outcomes):
        age = lab.record.now() - kept[name][1]
        if not reached and tries >= 5 and age < TURN_RETENTION_S and lab.most_running < 6:
            lost += 1
            lab.record("LOST", f"{kept[name][0]} of {name}, answered whole {age:.1f} s ago: "
                               f"no replica in {tries} tries, at most {lab.most_running} of 12 running")
    after = [served for sent_at, served in lab.tries if sent_at > back_at + RECOVERY_S]
    summary = (f"large_turns={len(large)} of {LARGE_TOKENS} tokens; kept turns lost={lost} of {len(judged)}; "
               f"served before the final fault={sum(before)} of {len(before)}, "
               f"{RECOVERY_S:.0f} s after it={sum(after)} of {len(after)}")
    lab.record("result", summary)
    print(summary)
    return lost > 0


if __name__ == "__main__":
    base.run_case(play, os.path.dirname(os.path.abspath(__file__)))
