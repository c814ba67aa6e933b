"""Workers that run gangs, as PROTOCOL.md says: the members of one run work from the moment when all
are present, end `done` together, and are `broken` when another member ends in another way."""

import world as w


def gang_of(task, run):
    return task.rsplit(".", 1)[0], run


class GangWorker(w.Worker):
    gangs = {}  # (ID.K.STEP, run) -> {task: worker}

    async def run_start(self, call):
        task, run = call["task"], call["runId"]
        present = task in self.runs
        answer = await super().run_start(call)
        need = self.world.need_of(task)
        if answer[0] != 200 or present or not need.get("gang"):
            return answer
        members = self.gangs.setdefault(gang_of(task, run), {})
        members[task] = self
        row = self.runs[task]
        if len(members) < need["count"]:
            row.update(end_at=self.clock() + w.BOUNDS["gangWaitMs"], how="alone")
            return answer
        for member, worker in members.items():
            worker.runs[member].update(end_at=worker.clock() + row["ms"], how="done")
        self.world.record.write(f"gang {task.rsplit('.', 1)[0]} run {run} works on "
                                f"{[worker.id for worker in members.values()]}")
        return answer

    async def end(self, task, how):
        run = self.runs[task]["run"]
        await super().end(task, how)
        members = self.gangs.get(gang_of(task, run), {})
        if members.pop(task, None) is None or how == "alone":
            return
        for member, worker in list(members.items()):
            if member in worker.runs and worker.runs[member]["how"] != "alone":
                await worker.end(member, "done" if how == "done" else "broken")

    async def crash(self, silent=False):
        tasks = list(self.runs.items())
        await super().crash(silent)
        for task, row in tasks:
            members = self.gangs.get(gang_of(task, row["run"]), {})
            if members.pop(task, None) is None:
                continue
            for member, worker in list(members.items()):
                if member in worker.runs and worker.runs[member]["how"] != "alone":
                    await worker.end(member, "broken")
