"""A program that has spent its budget stops, and returns within `RetentionS` of its route."""

import asyncio
import os
import random
import sys
from collections import defaultdict

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as base

# Of the route of the judged programs, as on the site; they return before it is over.
RETENTION_S, PAUSE_S = 60.0, 50.0
# Of the other route, whose turns the system keeps.
OTHER_RETENTION_S = 20.0
PROGRAMS, MOST, TURNS_IN_BUDGET = 20, 45, 4
BUDGET = MOST * TURNS_IN_BUDGET
QUERY, DRAFT = "/pufi791/", "/lohu930/"


def turn_headers(program, request, budget):
    return [("Request-Id", request), ("Model", "m"), ("Token-Count", f"840,{MOST}"),
            ("Prompt-Prefix", f"5c1e07a2:512,{request[:8]}:328"), ("Deadline-Ms", "4000"),
            ("Program-Id", program), ("Session-Id", program[:6]), ("Finish-Ms", "60000"),
            ("Token-Budget", str(budget))]


async def turn(lab, program, path, budget, previous=None):
    request = base.request_id()
    headers = turn_headers(program, request, budget)
    if previous:
        headers.append(("Previous-Turn", previous))
    front = random.randrange(lab.front_count)
    lab.record("sent", f"{request} turn of {program} to front-{front}")
    answer = await base.exchange(lab.front_address(front), "POST", path, headers, b"p" * 1300,
                                 timeout=4.5)
    tokens = len(base.parse_events(answer.body)) * base.EVENT_TOKENS
    lab.given[program] += tokens
    lab.record("answer", f"{request} of {program}: {answer}, {tokens} tokens")
    return request, answer


async def spend(lab, program, turns):
    """Sends turns one after the other; returns their statuses."""
    statuses = []
    for number in range(turns):
        _, answer = await turn(lab, program, f"{QUERY}4b", BUDGET)
        statuses.append(str(answer))
        await asyncio.sleep(0.15)
    return statuses


async def other_programs(lab):
    """Programs of the other route, whose turns are kept."""
    while True:
        program, previous = base.request_id()[:12], None
        for _ in range(3):
            request, answer = await turn(lab, program, f"{DRAFT}4b", 10 * MOST, previous)
            lab.others += answer.status == 200
            if answer.status != 200:
                break
            previous = request
            await asyncio.sleep(0.15)


async def play(lab, trouble):
    lab.given, lab.others, lab.runs = defaultdict(int), 0, defaultdict(int)

    def note_run(replica, headers, body):
        lab.runs[headers["program-id"]] += 1
        lab.record("run", f"{headers['request-id']} of {headers['program-id']} at {replica.id}")

    lab.note_run = note_run
    routes = [base.agent_route("r-query", QUERY, 0, False, True, RETENTION_S),
              base.agent_route("r-draft", DRAFT, 1, True, False, OTHER_RETENTION_S)]
    lab.put_config(7, routes, [base.ENGINE_SERVICE])
    for number in range(11):
        zone = base.ZONES[number % len(base.ZONES)]
        replica = base.EngineReplica(lab, base.ENGINE_SERVICE["Name"], lab.replica_address(), zone, 12)
        await replica.start()
    await lab.start_processes()
    await lab.wait_until_ready()
    for _ in range(60):
        _, answer = await turn(lab, f"w-{base.request_id()[:10]}", f"{DRAFT}4b", BUDGET)
        if answer.status == 200:
            break
        await asyncio.sleep(0.4)
    background = [asyncio.create_task(other_programs(lab)) for _ in range(4)]
    await asyncio.sleep(3.0)
    if not lab.others:
        raise base.CannotRun("no turn of the other route was served")
    programs = [f"p-{base.request_id()[:10]}" for _ in range(PROGRAMS)]
    first = await asyncio.gather(*(spend(lab, name, TURNS_IN_BUDGET + 1) for name in programs))
    lab.record("stopped", f"{PROGRAMS} programs, all at {lab.record.now():.1f} s")
    if trouble:
        await asyncio.sleep(PAUSE_S)
    lab.record("returned", f"{PROGRAMS} programs, all at {lab.record.now():.1f} s")
    second = await asyncio.gather(*(spend(lab, name, TURNS_IN_BUDGET) for name in programs))
    for task in background:
        task.cancel()
    lab.check_alive()
    spent = sum(lab.given[name] >= BUDGET for name in programs)
    if spent < PROGRAMS // 2:
        raise base.CannotRun(f"only {spent} of {PROGRAMS} programs spent their budget")
    bound = BUDGET + MOST
    beyond = [name for name in programs if lab.given[name] > bound]
    for name in beyond:
        lab.record("BUDGET", f"{name} was given {lab.given[name]} tokens; budget {BUDGET} and one turn {MOST}")
    summary = (f"programs={PROGRAMS} budget={BUDGET} bound={bound} beyond={len(beyond)} "
               f"most_given={max(lab.given[name] for name in programs)} "
               f"first={first[0]} second={second[0]} other_turns={lab.others}")
    lab.record("result", summary)
    print(summary)
    return bool(beyond)


if __name__ == "__main__":
    base.run_case(play, os.path.dirname(os.path.abspath(__file__)))
