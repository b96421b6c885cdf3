//! The cases.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::fleet::StepWork;
use crate::world::{Queue, Trouble, Verdict, World, done_tasks, starts_after_done, workers};

/// The time after the end of the traffic by which jobs have to run (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// The time for which a job with nothing running breaks the rule LOST.
const IDLE: Duration = Duration::from_secs(3);
/// The number of daemons of the site.
const DAEMONS: usize = 7;

const BOOK: Queue = Queue {
    name: "book",
    priority: 0,
    attempts: 4,
};
const SHIFTPLAN: Queue = Queue {
    name: "shiftplan",
    priority: 2,
    attempts: 4,
};

/// Plays a case.
pub fn play(case: &str, program: &Path, folder: &Path, trouble: &Trouble) -> io::Result<Verdict> {
    match case {
        "unlisted-ends" => unlisted_ends(program, folder, trouble),
        "removed-route" => removed_route(program, folder, trouble),
        "gang-end" => gang_end(program, folder, trouble),
        "reborn-and-cut" => reborn_and_cut(program, folder, trouble),
        "never-started" => never_started(program, folder, trouble),
        _ => Err(io::Error::other("there is no such case")),
    }
}

/// Many small tasks of one worker end while the store is down.
fn unlisted_ends(program: &Path, folder: &Path, trouble: &Trouble) -> io::Result<Verdict> {
    const TASKS: usize = 600;
    const DOWN_TIME: Duration = Duration::from_millis(4200);
    let mut fleet = workers(0, 11, "a");
    fleet.extend(workers(11, 1, "b"));
    let world = World::start(program, folder, &[BOOK, SHIFTPLAN], fleet, DAEMONS)?;
    let id = "5c0e7a21d94b36f8";
    let body = format!(
        r#"{{"spec":"many small tasks","steps":[{{"count":{TASKS},"cpu":50,"memMb":200,"estimateMs":3000,"requires":"b"}}]}}"#
    );
    let step = StepWork {
        count: TASKS as u64,
        cpu: 50,
        mem_mb: 200,
        work: Duration::from_secs(3),
        ..StepWork::default()
    };
    if !world.submit("shiftplan", id, &body, vec![step]) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let have_all_started = world.wait_for(Duration::from_secs(4), |world| {
        world.fleet.runs(id).len() >= TASKS
    });
    world
        .record
        .say(format!("all tasks have started: {have_all_started}"));
    if trouble.has("platform_down") {
        world.record.say("the store is down");
        world.store.set_down(true);
        sleep(DOWN_TIME);
        world.store.set_down(false);
        world.record.say("the store is up");
    }
    let is_done = world.wait_until_done(Duration::from_secs(30), id, TASKS);
    sleep(Duration::from_secs(10));
    let runs = world.fleet.runs(id);
    let repeated = starts_after_done(&runs);
    world.record.say(format!(
        "all tasks done: {is_done}; {} runs; {} starts after an end `done` that was taken note of",
        runs.len(),
        repeated.len()
    ));
    for (first, second) in repeated.iter().take(5) {
        world.record.say(format!(
            "TWICE: {} run {} {:?}, taken note of {:?}, then run {} started {:?}",
            first.task, first.run, first.ended, first.noted, second.run, second.started
        ));
    }
    Ok(verdict(!repeated.is_empty()))
}

/// A route is removed while a job of its queue runs, and the leader is killed.
fn removed_route(program: &Path, folder: &Path, trouble: &Trouble) -> io::Result<Verdict> {
    let world = World::start(
        program,
        folder,
        &[BOOK, SHIFTPLAN],
        workers(0, 12, "a"),
        DAEMONS,
    )?;
    let id = "5c0e7a21d94b36f8";
    let body = r#"{"spec":"two steps","steps":[{"count":4,"cpu":2000,"memMb":4600,"estimateMs":5000},{"count":4,"cpu":2000,"memMb":4600,"estimateMs":2000,"after":[0]}]}"#;
    let step = |work| StepWork {
        count: 4,
        cpu: 2000,
        mem_mb: 4600,
        work: Duration::from_secs(work),
        ..StepWork::default()
    };
    if !world.submit("shiftplan", id, body, vec![step(6), step(2)]) {
        return Err(io::Error::other("the job was not accepted"));
    }
    sleep(Duration::from_secs(1));
    if trouble.has("config_change") {
        world.publish(5, &[BOOK]);
    }
    sleep(Duration::from_secs(2));
    if trouble.has("node_kill") {
        let leader = world.store.last_writer().unwrap_or_default();
        world.daemons.kill(leader);
    }
    let first = format!("{id}.0.0.");
    if !world.wait_until_done(Duration::from_secs(30), &first, 4) {
        return Err(io::Error::other("the first step did not end"));
    }
    world
        .record
        .say("the first step is done; the turn of the second one has come");
    // Traffic on the other route shows that the system serves.
    let other = "00000000000000aa";
    let other_body =
        r#"{"spec":"another","steps":[{"count":4,"cpu":2000,"memMb":4600,"estimateMs":1000}]}"#;
    let is_accepted = world.submit("book", other, other_body, vec![step(1)]);
    let is_other_done = world.wait_until_done(Duration::from_secs(10), other, 4);
    world.record.say(format!(
        "a later job on the other route: accepted {is_accepted}, done {is_other_done}"
    ));
    let is_done = world.wait_until_done(FINISH + IDLE, id, 8);
    let begun = world.fleet.runs(&format!("{id}.0.1.")).len();
    world
        .record
        .say(format!("second step: {begun} runs begun, done {is_done}"));
    Ok(verdict(begun == 0 && lies_idle(&world, id, &step(2))))
}

/// A worker is cut off and crashes behind the cut after its gang has ended.
fn gang_end(program: &Path, folder: &Path, trouble: &Trouble) -> io::Result<Verdict> {
    let world = World::start(
        program,
        folder,
        &[BOOK, SHIFTPLAN],
        workers(0, 12, "a"),
        DAEMONS,
    )?;
    let id = "5c0e7a21d94b36f8";
    let body = r#"{"spec":"a gang","steps":[{"count":2,"cpu":3500,"memMb":6400,"estimateMs":3000,"gang":true,"antiAffinity":1},{"count":2,"cpu":3500,"memMb":6400,"estimateMs":1000,"after":[0]}]}"#;
    let step = |work, is_gang| StepWork {
        count: 2,
        cpu: 3500,
        mem_mb: 6400,
        work: Duration::from_secs(work),
        is_gang,
        ..StepWork::default()
    };
    if !world.submit("shiftplan", id, body, vec![step(3, true), step(1, false)]) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let has_begun = world.wait_for(Duration::from_secs(5), |world| {
        world.fleet.runs(id).len() == 2
    });
    if !has_begun {
        return Err(io::Error::other("the gang did not begin"));
    }
    sleep(Duration::from_secs(1));
    let worker = world.fleet.runs(id)[1].worker;
    if trouble.has("node_cut") {
        world
            .record
            .say(format!("worker {worker} is cut off from all daemons"));
        world.fleet.set_cut(worker, true);
    }
    let is_gang_done = world.wait_until_done(Duration::from_secs(20), id, 2);
    world
        .record
        .say(format!("the gang is done: {is_gang_done}"));
    if trouble.has("node_cut") {
        sleep(Duration::from_millis(300));
        world.fleet.crash(worker, false);
        world
            .record
            .say(format!("worker {worker} crashes behind the cut"));
        sleep(Duration::from_millis(700));
        world.fleet.restart(worker);
        world.record.say(format!("worker {worker} starts again"));
        sleep(Duration::from_millis(1500));
        world.fleet.set_cut(worker, false);
        world.record.say("the cut heals");
    }
    let is_done = world.wait_until_done(FINISH + IDLE, id, 4);
    let runs = world.fleet.runs(id);
    let noted = runs
        .iter()
        .filter(|run| run.ended.is_some_and(|(_, how)| how == "done") && run.noted.is_some());
    world.record.say(format!(
        "all tasks done: {is_done}; {} runs, {} tasks done, {} such ends taken note of; state {}",
        runs.len(),
        done_tasks(&runs),
        noted.count(),
        world.state("shiftplan", id)
    ));
    let begun = world.fleet.runs(&format!("{id}.0.1.")).len();
    Ok(verdict(
        begun == 0 && lies_idle(&world, id, &step(1, false)),
    ))
}

/// Two workers crash, one after the other, before they have started the task of a job.
fn never_started(program: &Path, folder: &Path, trouble: &Trouble) -> io::Result<Verdict> {
    const DOWN_TIME: Duration = Duration::from_secs(2);
    let mut fleet = workers(0, 11, "a");
    fleet.extend(workers(11, 2, "b"));
    let world = World::start(program, folder, &[BOOK, SHIFTPLAN], fleet, DAEMONS)?;
    let id = "5c0e7a21d94b36f8";
    let body = r#"{"spec":"one task","steps":[{"count":1,"cpu":32000,"memMb":4600,"estimateMs":1000,"requires":"b"}]}"#;
    let step = StepWork {
        count: 1,
        cpu: 32_000,
        mem_mb: 4600,
        work: Duration::from_secs(1),
        ..StepWork::default()
    };
    // Another task takes the room of one of the two workers for a while.
    let other = "00000000000000aa";
    let other_step = StepWork {
        work: Duration::from_millis(1500),
        ..step
    };
    if !world.submit("book", other, body, vec![other_step]) {
        return Err(io::Error::other("the first job was not accepted"));
    }
    if !world.wait_for(Duration::from_secs(5), |world| {
        !world.fleet.runs(other).is_empty()
    }) {
        return Err(io::Error::other("the first job did not begin"));
    }
    let busy = world.fleet.runs(other)[0].worker;
    let free = if busy == 11 { 12 } else { 11 };
    let crash = |worker: usize| {
        if trouble.has("srv_crash") {
            world.fleet.crash(worker, true);
            world.record.say(format!("worker {worker} crashes"));
        }
    };
    let restart = |worker: usize| {
        if trouble.has("srv_crash") {
            world.fleet.restart(worker);
            world.record.say(format!("worker {worker} starts again"));
        }
    };
    crash(free);
    if !world.submit("book", id, body, vec![step]) {
        return Err(io::Error::other("the job was not accepted"));
    }
    sleep(DOWN_TIME);
    // Never are both down at once.
    restart(free);
    crash(busy);
    sleep(DOWN_TIME);
    restart(busy);
    let is_done = world.wait_until_done(FINISH + IDLE, id, 1);
    let state = world.state("book", id);
    let runs = world.fleet.runs(id);
    world.record.say(format!(
        "done {is_done}; the job is shown as {state}; its task was started {} times",
        runs.len()
    ));
    let has_failed_end = runs
        .iter()
        .any(|run| run.ended.is_some_and(|(_, how)| how == "failed"));
    Ok(verdict(
        state == "failed" && runs.is_empty() && !has_failed_end,
    ))
}

/// A worker crashes and is back at once, starts a task, and is cut off before it was asked for its runs.
fn reborn_and_cut(program: &Path, folder: &Path, trouble: &Trouble) -> io::Result<Verdict> {
    const CUT_TIME: Duration = Duration::from_millis(5400);
    let mut fleet = workers(0, 11, "a");
    fleet.extend(workers(11, 1, "b"));
    fleet.extend(workers(12, 1, "b"));
    let world = World::start(program, folder, &[BOOK, SHIFTPLAN], fleet, DAEMONS)?;
    let id = "5c0e7a21d94b36f8";
    let body = r#"{"spec":"two tasks","steps":[{"count":2,"cpu":3500,"memMb":6400,"estimateMs":8000,"requires":"b"}]}"#;
    let step = StepWork {
        count: 2,
        cpu: 3500,
        mem_mb: 6400,
        work: Duration::from_secs(8),
        ..StepWork::default()
    };
    let worker = 11;
    if trouble.has("srv_crash") {
        world.fleet.wait_for_hold(worker);
        world.fleet.crash(worker, true);
        world.record.say(format!("worker {worker} crashes"));
        sleep(Duration::from_millis(900));
        world.fleet.restart(worker);
        world.record.say(format!("worker {worker} starts again"));
    }
    if !world.submit("shiftplan", id, body, vec![step]) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let has_begun = world.wait_for(Duration::from_secs(5), |world| {
        world.fleet.runs(id).len() == 2
    });
    let on_worker = world.fleet.runs(id).iter().any(|run| run.worker == worker);
    world.record.say(format!(
        "both tasks have begun: {has_begun}, one of them on worker {worker}: {on_worker}"
    ));
    if trouble.has("node_cut") {
        sleep(Duration::from_millis(200));
        world.fleet.set_cut(worker, true);
        world
            .record
            .say(format!("worker {worker} is cut off from all daemons"));
        sleep(CUT_TIME);
        world.fleet.set_cut(worker, false);
        world.record.say("the cut heals");
    }
    world.wait_until_done(Duration::from_secs(30), id, 2);
    let runs = world.fleet.runs(id);
    let mut is_broken = false;
    for first in &runs {
        world.record.say(format!(
            "{} run {} on worker {}: {:?} to {:?}",
            first.task, first.run, first.worker, first.started, first.ended
        ));
        let overlaps = runs.iter().any(|second| {
            second.task == first.task
                && second.run > first.run
                && first.ended.is_none_or(|(at, _)| at > second.started)
        });
        is_broken |= overlaps;
    }
    Ok(verdict(is_broken))
}

/// Returns whether a job has nothing running for three seconds on end, while there is room for a waiting
/// step of it twice over and under half of the service is in use (the rule LOST).
fn lies_idle(world: &World, id: &str, step: &StepWork) -> bool {
    let runs = world.fleet.runs(id).len();
    let needed = (2 * step.count * step.cpu, 2 * step.count * step.mem_mb);
    let is_interrupted = world.wait_for(IDLE, |world| {
        let (whole, used) = world.fleet.capacity();
        let is_roomy = whole.0 >= used.0 + needed.0 && whole.1 >= used.1 + needed.1;
        let is_mostly_free = 2 * used.0 < whole.0 && 2 * used.1 < whole.1;
        let has_running = world.fleet.runs(id).iter().any(|run| run.ended.is_none());
        has_running || world.fleet.runs(id).len() > runs || !is_roomy || !is_mostly_free
    });
    let (whole, used) = world.fleet.capacity();
    world.record.say(format!(
        "idle beside free workers for 3 s: {}; in use {used:?} of {whole:?}",
        !is_interrupted
    ));
    !is_interrupted
}

fn verdict(is_broken: bool) -> Verdict {
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
