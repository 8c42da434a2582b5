"""Runs the users' bench on versions of the product in work trees of their own.

Everything that is started is ended by its process id; journal entries of the
plays are taken over into the repository, also those of a stopped run."""

import concurrent.futures
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading

import paired_plays

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
# Names the tree as it stands, with changes that are not committed.
TREE = "tree"


def git(*words, env=None):
    """Standard output of a git command; BadInput with its error."""
    done = subprocess.run(
        ["git", "-C", str(REPOSITORY), *words],
        capture_output=True, text=True, check=False, env=env,
    )
    if done.returncode != 0:
        raise paired_plays.BadInput(f"git {words[0]}: {done.stderr.strip()}")
    return done.stdout.strip()


def commit_of(version):
    """The commit that `version` names; one made of the tree for `tree`."""
    if version != TREE:
        try:
            return git("rev-parse", "--verify", f"{version}^{{commit}}")
        except paired_plays.BadInput as failure:
            raise paired_plays.BadInput(
                f"{version}: no commit of this repository") from failure
    with tempfile.TemporaryDirectory() as scratch:
        env = {**os.environ, "GIT_INDEX_FILE": f"{scratch}/index"}
        git("read-tree", "HEAD", env=env)
        git("add", "--all", env=env)
        tree = git("write-tree", env=env)
    return git("commit-tree", tree, "-p", "HEAD", "-m", "the tree as it stands")


class WorkTrees:
    """Checked-out versions; removed at the end unless a folder was given."""

    def __init__(self, folder=None):
        self.keeps_ = folder is not None
        self.folder_ = pathlib.Path(folder or tempfile.mkdtemp(prefix="compare-"))
        self.folder_.mkdir(parents=True, exist_ok=True)
        self.trees_ = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for tree in set(self.trees_.values()):
            take_over_journal(tree)
        if self.keeps_:
            return
        for tree in set(self.trees_.values()):
            git("worktree", "remove", "--force", str(tree))
        shutil.rmtree(self.folder_, ignore_errors=True)

    def add(self, version, commit):
        """A work tree of `commit`, made if it is not there."""
        tree = self.folder_ / commit[:12]
        if not tree.exists():
            git("worktree", "add", "--detach", "--force", str(tree), commit)
        self.trees_[version] = tree
        return tree

    def __getitem__(self, version):
        return self.trees_[version]


def take_over_journal(tree):
    """Copies journal entries of `tree` that the repository lacks."""
    source = tree / "journal"
    for path in source.rglob("*"):
        target = REPOSITORY / "journal" / path.relative_to(source)
        if path.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, target)


class Bench:
    """The users' bench program."""

    def __init__(self, program, why):
        if not os.access(program, os.X_OK):
            raise paired_plays.BadInput(f"{program}: not a program")
        self.program_ = str(pathlib.Path(program).resolve())
        self.why_ = why
        self.running_ = set()
        self.lock_ = threading.Lock()
        self.stopped_ = False

    def build(self, tree):
        """Builds a work tree; BadInput with the last lines where it fails."""
        code, text = self.run_(tree, ["build"])
        if code != 0:
            last = "\n".join(text.strip().splitlines()[-5:])
            raise paired_plays.BadInput(f"the build of {tree.name} failed:\n{last}")

    def play(self, tree, deployment, day, seed, small):
        """The outcome of one play; RuntimeError with the reason for none."""
        with tempfile.TemporaryDirectory() as scratch:
            report = pathlib.Path(scratch) / "report.json"
            words = ["run", str(deployment.path), day, "--seed", str(seed),
                     "--report", str(report), "--why", self.why_]
            code, text = self.run_(tree, words + (["--small"] if small else []))
            if self.stopped_:
                raise RuntimeError("stopped")
            if code != 0 or not report.exists():
                raise RuntimeError((text.strip().splitlines() or ["no output"])[-1])
            return paired_plays.read_outcome(json.loads(report.read_text()))

    def stop(self):
        """Ends what runs; later plays are not begun."""
        self.stopped_ = True
        with self.lock_:
            for process in self.running_:
                process.terminate()

    def run_(self, tree, words):
        with self.lock_:
            if self.stopped_:
                return 1, "stopped"
            process = subprocess.Popen(
                [self.program_, *words], cwd=tree, text=True,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                start_new_session=True,
            )
            self.running_.add(process)
        text, _ = process.communicate()
        with self.lock_:
            self.running_.discard(process)
        return process.returncode, text


def play_all(plays, play_one, bench, jobs, on_outcome):
    """Plays all with `jobs` at once; returns those that gave nothing, with the
    reason. SIGINT and SIGTERM end it with what is done, SIGINT also where the
    shell that started it behind `&` ignores that signal."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    failed = {}
    with concurrent.futures.ThreadPoolExecutor(max_workers=jobs) as pool:
        futures = {pool.submit(play_one, play): play for play in plays}
        try:
            for done, future in enumerate(
                concurrent.futures.as_completed(futures), start=1
            ):
                play = futures[future]
                try:
                    on_outcome(play, future.result())
                except (RuntimeError, KeyError, ValueError) as reason:
                    failed[play] = str(reason)
                show_progress(done, len(plays), len(failed))
        except KeyboardInterrupt:
            print("\nstopped; what is done follows", file=sys.stderr)
            for future in futures:
                future.cancel()
            bench.stop()
    return failed


def show_progress(done, total, failed):
    text = f"{done} of {total} plays, {total - done} left, {failed} without result"
    if sys.stderr.isatty():
        print(f"\r{text}", end="\n" if done == total else "", file=sys.stderr, flush=True)
    else:
        print(text, file=sys.stderr, flush=True)
