//! Queues and concurrency limits: order, fairness and refusals.

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

fn enqueue(queue: &mut FairQueue, now: Duration, demand: Demand) -> Ticket {
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

/// A queue that has measured a rate of 400 units of work per second.
fn measured(limits: QueueLimits) -> FairQueue {
    let mut queue = FairQueue::new(limits);
    for i in 0..20 {
        enqueue(&mut queue, Duration::from_millis(i * 250), normal("a"));
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
        enqueue(&mut queue, Duration::ZERO, later);
        let sooner = enqueue(&mut queue, Duration::ZERO, sooner);

        let first = next(&mut queue, Duration::ZERO);

        assert_eq!(first, Some(sooner), "{case}");
    }
    let mut queue = FairQueue::default();
    let first = enqueue(&mut queue, Duration::ZERO, normal("a"));
    enqueue(&mut queue, Duration::ZERO, normal("a"));
    assert_eq!(next(&mut queue, Duration::ZERO), Some(first), "arrival");
}

/// A large workspace has queued fifty chats when a small one sends its first. In FIFO order that chat would wait for
/// all fifty; it must be among the next two.
#[test]
fn a_small_workspace_does_not_wait_behind_anothers_queue() {
    let mut queue = FairQueue::default();
    for _ in 0..50 {
        enqueue(&mut queue, Duration::ZERO, normal("large"));
    }
    next(&mut queue, Duration::ZERO);
    let small = enqueue(&mut queue, Duration::ZERO, normal("small"));

    let turns = [next(&mut queue, Duration::ZERO), next(&mut queue, Duration::ZERO)];

    assert!(turns.contains(&Some(small)));
}

/// Four workspaces have filled the queue when a fifth sends a request. It must not be refused; the last request of
/// the workspace with the most waiting requests is refused instead, immediately.
#[test]
fn a_full_queue_accepts_a_small_workspace() {
    let mut queue = FairQueue::new(QueueLimits::default().with_max_waiting(8));
    for name in ["a", "b", "b", "b", "c", "c", "d", "d"] {
        enqueue(&mut queue, Duration::ZERO, normal(name));
    }

    let offer = queue.enqueue(Duration::ZERO, normal("small"));

    let EnqueueResult::Displaced(_, victim, refusal) = offer else { panic!("not displaced: {offer:?}") };
    assert_eq!(refusal.kind, ErrorKind::QueueFull);
    assert_eq!(queue.len(), 8);
    queue.cancel(victim);
    assert_eq!(queue.len(), 8, "the displaced request was already removed");
}

#[test]
fn queues_are_bounded() {
    let limits = QueueLimits::default().with_max_waiting(4).with_max_per_workspace(2);
    let mut queue = FairQueue::new(limits);
    for name in ["a", "a", "b", "b"] {
        enqueue(&mut queue, Duration::ZERO, normal(name));
    }

    assert_eq!(refused(queue.enqueue(Duration::ZERO, normal("a"))), ErrorKind::QueueFull, "of the workspace");
    let offer = queue.enqueue(Duration::ZERO, normal("c"));
    assert!(matches!(offer, EnqueueResult::Displaced(..)));
    assert_eq!(queue.len(), 4);
}

/// A request has a deadline of 500 ms while 12 requests wait ahead of it and four start per second. Queued, it would
/// fail only after its deadline; refused at once, the caller can retry.
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

/// All engines stall for a while, which lowers the measured rate to nearly zero, and then recover. A queue that kept
/// refusing by the old rate would never measure a new one.
#[test]
fn an_empty_queue_accepts_a_request_after_a_stall() {
    let mut queue = FairQueue::default();
    let ticket = enqueue(&mut queue, Duration::ZERO, normal("a"));
    for i in 1..100 {
        queue.expire(Duration::from_millis(i * 250));
    }
    queue.cancel(ticket);
    let now = Duration::from_secs(30);

    let offer = queue.enqueue(now, demand("a", Priority::Normal, now + Duration::from_secs(1)));

    assert!(matches!(offer, EnqueueResult::Queued(_)));
}

/// A flapping engine blocks all turns for a second just as the first requests wait. If that were taken for the rate
/// of the queue, even requests with a minute left would be refused.
#[test]
fn a_short_stall_refuses_no_long_deadline() {
    let mut queue = FairQueue::default();
    enqueue(&mut queue, Duration::ZERO, normal("a"));
    for i in 1..5 {
        queue.expire(Duration::from_millis(i * 250));
    }
    let now = Duration::from_secs(1);

    let offer = queue.enqueue(now, demand("b", Priority::Normal, now + Duration::from_secs(60)));

    assert!(matches!(offer, EnqueueResult::Queued(_)), "{offer:?}");
}

#[test]
fn waiting_requests_expire_at_their_deadline() {
    let mut queue = FairQueue::default();
    let short = enqueue(&mut queue, Duration::ZERO, demand("a", Priority::High, Duration::from_secs(1)));
    enqueue(&mut queue, Duration::ZERO, normal("a"));

    let expired = queue.expire(Duration::from_secs(1) + Duration::from_millis(1));

    assert_eq!(
        expired.iter().map(|(t, r)| (*t, r.kind)).collect::<Vec<_>>(),
        [(short, ErrorKind::DeadlinePassed)]
    );
    assert_eq!(queue.len(), 1);
    let passed = queue.enqueue(Duration::from_secs(2), demand("a", Priority::High, Duration::from_secs(1)));
    assert_eq!(refused(passed), ErrorKind::DeadlinePassed);
}

/// A caller disconnects while its request has a turn. If the turn were not freed, a few such callers would block the
/// queue forever.
#[test]
fn a_caller_that_disconnects_frees_its_turn() {
    let mut queue = FairQueue::new(QueueLimits::default().with_max_turns(1));
    enqueue(&mut queue, Duration::ZERO, normal("a"));
    let second = enqueue(&mut queue, Duration::ZERO, normal("a"));
    let first = queue.start_turn().unwrap();
    assert_eq!(queue.start_turn(), None, "one turn at a time");

    queue.cancel(first);

    assert_eq!(queue.start_turn(), Some(second));
}

/// A request whose turn ends without an engine, because another router reserved it first, keeps its position.
#[test]
fn a_turn_without_an_engine_keeps_the_place() {
    let mut queue = FairQueue::default();
    let first = enqueue(&mut queue, Duration::ZERO, normal("a"));
    enqueue(&mut queue, Duration::ZERO, normal("a"));
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

/// After a stall of a minute all callers have given up, and requests have been waiting again for 200 ms. By the rate
/// of that stall alone, a request with a minute left would be refused. It is refused only once the queue has stalled
/// again for some seconds.
#[test]
fn an_old_stall_refuses_no_long_deadline() {
    let mut queue = FairQueue::default();
    let tickets = [0, 1, 2, 3].map(|i| enqueue(&mut queue, Duration::ZERO, normal(&format!("w{i}"))));
    next(&mut queue, Duration::from_millis(250));
    for i in 1..30 {
        queue.expire(Duration::from_secs(2 * i) + Duration::from_millis(250));
    }
    tickets.into_iter().for_each(|t| queue.cancel(t));
    let start = Duration::from_secs(100);
    enqueue(&mut queue, start, normal("a"));
    let offer = |queue: &mut FairQueue, now: Duration| {
        let deadline = now + Duration::from_secs(60);
        queue.enqueue(now, demand("late", Priority::Normal, deadline))
    };

    let soon = offer(&mut queue, start + Duration::from_millis(200));
    let later = offer(&mut queue, start + Duration::from_secs(10));

    assert!(matches!(soon, EnqueueResult::Queued(_)), "{soon:?}");
    assert_eq!(refused(later), ErrorKind::DeadlineUnmeetable);
}
