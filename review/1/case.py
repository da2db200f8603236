"""A scheduler of a fleet that has grown sixteen times: are all requests answered?"""
import asyncio
import collections
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Today 12 to 15 calc boxes and 2 to 3 schedulers; fleets have up to sixteen times the claim workers, and the
# traffic and the limits of a scheduler stay the same.
GROWTH = 16 if TROUBLE else 1
WORKERS, SCHEDULERS = 15 * GROWTH, 3 * GROWTH
# 10 jobs a second for 2 schedulers, of which this one's building has up to 0.6 more than its part.
RATE = 8.0
# The least number of descriptors that the pages allow a scheduler.
LIMITS = {"memory_mb": 64, "sockets": 256}
SECONDS = 76.0
# Each class: its share of the jobs and its mean work in seconds.
WORK = {"quote": (0.33, 0.59), "save-plan": (0.30, 1.2), "full-schedule": (0.24, 3.5),
        "restructure": (0.13, 2.3)}
# A request whose answer comes later than this after the client's time is lost.
LOST_AFTER = 0.5 + 0.05


async def play():
    settings = standins.site_settings("cairo-calc")
    settings["fleet_size"] = SCHEDULERS
    platform = standins.Platform(settings, LIMITS, schedulers=1)
    kinds = [(4, 0.97), (5, 0.60)]
    platform.workers = [
        standins.Worker(platform, f"s-{index:08x}", zone=index % 2, kind=index % 2, cell=index // 4,
                        slots=kinds[index % 2][0], speed=kinds[index % 2][1])
        for index in range(WORKERS)]
    scheduler = platform.schedulers[0]
    classes = {one["name"]: one for one in settings["classes"]}

    def make():
        name = platform.rng.choices(list(WORK), [share for share, _ in WORK.values()])[0]
        one = classes[name]
        key = f"{platform.rng.getrandbits(128):032x}" if one["semantics"] == "token" else None
        work = min(platform.rng.expovariate(1 / WORK[name][1]), one["deadline_s"] / 5)
        return name, one["deadline_s"], work, b"a claim", key

    try:
        await platform.start()
        clients = standins.Clients(platform, scheduler)
        load = asyncio.create_task(clients.load(RATE, time.time() + SECONDS, make))
        while not load.done():
            await asyncio.sleep(5)
            platform.record.add("descriptors", open=scheduler.descriptors(), limit=LIMITS["sockets"])
        await asyncio.wait(clients.tasks, timeout=27)
        crashed = scheduler.process.poll()
    finally:
        platform.end()
        platform.logs()
        here = os.path.dirname(os.path.abspath(__file__))
        outcomes = collections.Counter(answer[3] for answer in platform.answers)
        lost = [answer for answer in platform.answers
                if answer[3] in ("no answer", "foreign") or answer[4] > answer[2] + LOST_AFTER]
        platform.record.add("outcomes", **{str(name).replace(" ", "-"): n for name, n in outcomes.items()})
        platform.record.add("lost", requests=len(lost))
        platform.record.write(os.path.join(here, "record.txt"))
    print(f"{WORKERS} claim workers, outcomes {dict(outcomes)}, lost {len(lost)}")
    if crashed is not None:
        print(f"the scheduler has ended with {crashed}")
    return 1 if lost or crashed is not None else 0


try:
    sys.exit(asyncio.run(play()))
except Exception as error:  # the case could not run
    print(f"cannot run: {error!r}")
    sys.exit(2)
