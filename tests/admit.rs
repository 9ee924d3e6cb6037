//! The queue of a pool: order, fairness, refusals.

use std::time::Duration;

use cranberrytally::{
    admit::{
        ConcurrencyLimit, Demand, EnqueueResult, FairQueue, InFlight, Priority, QueueLimits, Scope, Ticket,
    },
    error::ErrorKind,
};

const LATE: Duration = Duration::from_secs(3600);

fn demand(workspace: &str, priority: Priority, deadline: Duration) -> Demand {
    Demand { workspace: workspace.into(), priority, deadline, work: 100 }
}

fn normal(workspace: &str) -> Demand {
    demand(workspace, Priority::Normal, LATE)
}

fn wait(queue: &mut FairQueue, now: Duration, demand: Demand) -> Ticket {
    match queue.enqueue(now, demand) {
        EnqueueResult::Queued(ticket) => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

fn refused(offer: EnqueueResult) -> ErrorKind {
    match offer {
        EnqueueResult::Refused(r) => r.kind,
        other => panic!("not refused: {other:?}"),
    }
}

fn next(queue: &mut FairQueue, now: Duration) -> Option<Ticket> {
    let ticket = queue.start_turn()?;
    queue.end_turn(now, ticket, true);
    Some(ticket)
}

/// Lets the lane measure 400 units of work a second.
fn measured(limits: QueueLimits) -> FairQueue {
    let mut queue = FairQueue::new(limits);
    for i in 0..20 {
        wait(&mut queue, Duration::from_millis(i * 250), normal("a"));
    }
    for i in 0..8 {
        next(&mut queue, Duration::from_millis(i * 250 + 250));
    }
    queue
}

#[test]
fn a_workspace_is_served_by_class_then_deadline_then_arrival() {
    let table = [
        ("class", demand("a", Priority::Normal, LATE / 2), demand("a", Priority::High, LATE)),
        ("deadline", demand("a", Priority::Low, LATE), demand("a", Priority::Low, LATE / 2)),
    ];
    for (case, later, sooner) in table {
        let mut queue = FairQueue::default();
        wait(&mut queue, Duration::ZERO, later);
        let sooner = wait(&mut queue, Duration::ZERO, sooner);

        let first = next(&mut queue, Duration::ZERO);

        assert_eq!(first, Some(sooner), "{case}");
    }
    let mut queue = FairQueue::default();
    let first = wait(&mut queue, Duration::ZERO, normal("a"));
    wait(&mut queue, Duration::ZERO, normal("a"));
    assert_eq!(next(&mut queue, Duration::ZERO), Some(first), "arrival");
}

/// A large workspace has queued fifty chats when a small one sends its first.
/// In order of arrival the traveller would wait for all fifty; it must be among the next two.
#[test]
fn a_small_workspace_does_not_wait_behind_anothers_queue() {
    let mut queue = FairQueue::default();
    for _ in 0..50 {
        wait(&mut queue, Duration::ZERO, normal("large"));
    }
    next(&mut queue, Duration::ZERO);
    let small = wait(&mut queue, Duration::ZERO, normal("small"));

    let turns = [next(&mut queue, Duration::ZERO), next(&mut queue, Duration::ZERO)];

    assert!(turns.contains(&Some(small)));
}

/// Four workspaces surge and fill the whole queue; a fifth sends one translation and is told "queue full".
/// The last request of the longest queue gives way instead, and is told at once.
#[test]
fn a_full_queue_still_takes_a_small_workspace() {
    let mut queue = FairQueue::new(QueueLimits::default().with_max_waiting(8));
    for name in ["a", "b", "b", "b", "c", "c", "d", "d"] {
        wait(&mut queue, Duration::ZERO, normal(name));
    }

    let offer = queue.enqueue(Duration::ZERO, normal("small"));

    let EnqueueResult::Displaced(_, victim, refusal) = offer else { panic!("not displaced: {offer:?}") };
    assert_eq!(refusal.kind, ErrorKind::QueueFull);
    assert_eq!(queue.len(), 8);
    queue.cancel(victim);
    assert_eq!(queue.len(), 8, "the victim was already out");
}

#[test]
fn queues_are_bounded() {
    let limits = QueueLimits::default().with_max_waiting(4).with_max_per_workspace(2);
    let mut queue = FairQueue::new(limits);
    for name in ["a", "a", "b", "b"] {
        wait(&mut queue, Duration::ZERO, normal(name));
    }

    assert_eq!(refused(queue.enqueue(Duration::ZERO, normal("a"))), ErrorKind::QueueFull, "of the workspace");
    let offer = queue.enqueue(Duration::ZERO, normal("c"));
    assert!(matches!(offer, EnqueueResult::Displaced(..)));
    assert_eq!(queue.len(), 4);
}

/// Phrases shall be tagged within 500 ms while 12 chats wait before them and four start a second.
/// Let in, they would be told after their deadline that they are late; told at once, they can come back.
#[test]
fn a_deadline_that_can_not_be_met_is_refused_at_once() {
    let mut queue = measured(QueueLimits::default());
    let now = Duration::from_millis(2250);

    let tight = queue.enqueue(now, demand("a", Priority::Low, now + Duration::from_millis(500)));
    let roomy = queue.enqueue(now, demand("a", Priority::Low, now + Duration::from_secs(60)));

    let EnqueueResult::Refused(refusal) = tight else { panic!("not refused: {tight:?}") };
    assert_eq!(refusal.kind, ErrorKind::DeadlineUnmeetable);
    assert!(refusal.retry_after >= Duration::from_secs(2), "{refusal:?}");
    assert!(matches!(roomy, EnqueueResult::Queued(_)));
}

/// Every engine stalls for a while, so the measured rate falls to nothing; then they run again.
/// A lane that refused on the old rate would keep all requests out for ever.
#[test]
fn an_empty_lane_lets_a_request_in_after_a_stall() {
    let mut queue = FairQueue::default();
    let ticket = wait(&mut queue, Duration::ZERO, normal("a"));
    for i in 1..100 {
        queue.expire(Duration::from_millis(i * 250));
    }
    queue.cancel(ticket);
    let now = Duration::from_secs(30);

    let offer = queue.enqueue(now, demand("a", Priority::Normal, now + Duration::from_secs(1)));

    assert!(matches!(offer, EnqueueResult::Queued(_)));
}

/// A flapping engine holds all turns up for a second just as the first requests begin to wait. Taken for the
/// lane's speed, that would refuse everybody who comes with a minute to spare.
#[test]
fn a_second_without_a_start_refuses_nobody_with_a_minute() {
    let mut queue = FairQueue::default();
    wait(&mut queue, Duration::ZERO, normal("a"));
    for i in 1..5 {
        queue.expire(Duration::from_millis(i * 250));
    }
    let now = Duration::from_secs(1);

    let offer = queue.enqueue(now, demand("b", Priority::Normal, now + Duration::from_secs(60)));

    assert!(matches!(offer, EnqueueResult::Queued(_)), "{offer:?}");
}

#[test]
fn waiting_requests_leave_at_their_deadline() {
    let mut queue = FairQueue::default();
    let short = wait(&mut queue, Duration::ZERO, demand("a", Priority::High, Duration::from_secs(1)));
    wait(&mut queue, Duration::ZERO, normal("a"));

    let gone = queue.expire(Duration::from_secs(1) + Duration::from_millis(1));

    assert_eq!(
        gone.iter().map(|(t, r)| (*t, r.kind)).collect::<Vec<_>>(),
        [(short, ErrorKind::DeadlinePassed)]
    );
    assert_eq!(queue.len(), 1);
    let passed = queue.enqueue(Duration::from_secs(2), demand("a", Priority::High, Duration::from_secs(1)));
    assert_eq!(refused(passed), ErrorKind::DeadlinePassed);
}

/// A caller hangs up while its request has the turn. If the turn stayed taken, the lane would stop for good
/// after a few such callers.
#[test]
fn a_caller_that_goes_away_frees_its_turn() {
    let mut queue = FairQueue::new(QueueLimits::default().with_max_turns(1));
    wait(&mut queue, Duration::ZERO, normal("a"));
    let second = wait(&mut queue, Duration::ZERO, normal("a"));
    let first = queue.start_turn().unwrap();
    assert_eq!(queue.start_turn(), None, "one turn at a time");

    queue.cancel(first);

    assert_eq!(queue.start_turn(), Some(second));
}

/// The engine that a turn was meant for was taken by another router in between.
#[test]
fn a_turn_without_an_engine_keeps_the_place() {
    let mut queue = FairQueue::default();
    let first = wait(&mut queue, Duration::ZERO, normal("a"));
    wait(&mut queue, Duration::ZERO, normal("a"));
    let ticket = queue.start_turn().unwrap();

    queue.end_turn(Duration::ZERO, ticket, false);

    assert_eq!(queue.start_turn(), Some(first));
}

#[test]
fn limits_count_requests_in_progress() {
    let limits = [
        ConcurrencyLimit { scope: Scope::Workspace("a".into()), max: 2 },
        ConcurrencyLimit { scope: Scope::Group("g".into()), max: 3 },
    ];
    let mut in_flight = InFlight::default();
    assert_eq!(in_flight.acquire(&limits, 1), Ok(()));
    assert_eq!(in_flight.acquire(&limits, 1), Ok(()));

    assert_eq!(in_flight.acquire(&limits, 1), Err(ErrorKind::WorkspaceLimit));
    assert_eq!(in_flight.acquire(&limits[1..], 1), Ok(()), "a refused request is not counted");
    assert_eq!(in_flight.acquire(&limits[1..], 1), Err(ErrorKind::GroupLimit));
    in_flight.release(&limits);
    in_flight.release(&limits);
    in_flight.release(&limits[1..]);
    assert!(in_flight.is_empty());
}

#[test]
fn a_limit_is_shared_by_the_routers() {
    let limits = [ConcurrencyLimit { scope: Scope::Workspace("a".into()), max: 10 }];
    for (routers, share) in [(1, 10), (3, 4), (20, 1)] {
        let mut in_flight = InFlight::default();

        let entered = (0..100).take_while(|_| in_flight.acquire(&limits, routers).is_ok()).count();

        assert_eq!(entered, share, "{routers} routers");
    }
}

/// The pool stood still for a minute, all callers gave up, and now requests wait again for a fifth of a second. By
/// the rate of that minute a traveller with a minute left would be refused; one that waits in a stall of some
/// seconds is.
#[test]
fn an_old_stall_refuses_no_long_deadline() {
    let mut queue = FairQueue::default();
    let tickets = [0, 1, 2, 3].map(|i| wait(&mut queue, Duration::ZERO, normal(&format!("w{i}"))));
    next(&mut queue, Duration::from_millis(250));
    for i in 1..30 {
        queue.expire(Duration::from_secs(2 * i) + Duration::from_millis(250));
    }
    tickets.into_iter().for_each(|t| queue.cancel(t));
    let start = Duration::from_secs(100);
    wait(&mut queue, start, normal("a"));
    let offer = |queue: &mut FairQueue, now: Duration| {
        let deadline = now + Duration::from_secs(60);
        queue.enqueue(now, demand("late", Priority::Normal, deadline))
    };

    let soon = offer(&mut queue, start + Duration::from_millis(200));
    let later = offer(&mut queue, start + Duration::from_secs(10));

    assert!(matches!(soon, EnqueueResult::Queued(_)), "{soon:?}");
    assert_eq!(refused(later), ErrorKind::DeadlineUnmeetable);
}
