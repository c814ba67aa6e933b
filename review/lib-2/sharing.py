"""Workers on which tasks that fill disturb tasks that serve, as PROTOCOL.md says of sharing."""

import asyncio

import world as w

BASE_TAIL_MS = 60


class SharingWorker(w.Worker):
    """`press` says by how many milliseconds a filler of an image lengthens the tail of the serving
    tasks beside it while it works at full pace; at half the pace it is half of that."""

    press = {}

    def pace_of(self, task):
        return self.paces.get(task, 100)

    async def start(self):
        self.paces = {}
        await super().start()
        self.jobs.append(asyncio.ensure_future(self.progress()))

    async def progress(self):
        """A filler works at its pace: its end moves away while it is paced down."""
        step = 0.05
        while True:
            await asyncio.sleep(step)
            for task, row in self.runs.items():
                if row["end_at"] is not None:
                    row["end_at"] += step * 1000 * (1 - self.pace_of(task) / 100)

    async def carry_out(self, path, call):
        if path == "/api/pace" and call.get("fencingToken", 0) >= self.token:
            row = self.runs.get(call["task"])
            if row is not None and row["run"] == call["runId"]:
                self.paces[call["task"]] = call["percent"]
                self.world.record.write(f"pace {call['task']} on {self.id}: {call['percent']}")
        elif path == "/api/run-start":
            if call["task"] not in self.runs:
                self.paces.pop(call["task"], None)
        return await super().carry_out(path, call)

    def tail(self):
        pressed = 0
        for task in self.runs:
            need = self.world.need_of(task)
            if need.get("fillRatio"):
                pressed += self.press.get(need.get("image"), 0) * self.pace_of(task) / 100
        return int(BASE_TAIL_MS + pressed)

    def measure(self, task):
        need = self.world.need_of(task)
        if need.get("targetMs"):
            return self.tail()
        return int(need.get("cpu", 0) * self.pace_of(task) / 100)

    def used(self):
        """The processors of fillers aren't counted against the capacity."""
        total = {"cpu": 0, "memMb": 0, "gpu": 0}
        for task in self.runs:
            need = self.world.need_of(task)
            for name in total:
                if name != "cpu" or not need.get("fillRatio"):
                    total[name] += need.get(name, 0)
        return total

    def has_room(self, task):
        used, need = self.used(), dict(self.world.need_of(task))
        if need.get("fillRatio"):
            need["cpu"] = 0
        return all(used[n] + need.get(n, 0) <= self.capacity.get(n, 0) for n in used)
