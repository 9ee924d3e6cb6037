//! Background tasks that wake up too often.

use std::time::Duration;

use cranberrytally::relay::rounds::{Rounds, Task};

/// Guards against a task that is busy with itself and not reported, and a busy host that is reported as one.
#[test]
fn only_a_task_that_wakes_up_thousands_of_times_a_second_is_busy() {
    let rounds = Rounds::default();
    (0..2_100).for_each(|_| rounds.record(Task::Messages));
    (0..1_900).for_each(|_| rounds.record(Task::Heartbeats));

    let counted = rounds.count(Duration::from_secs(1)).unwrap();
    let busy: Vec<_> = counted.iter().filter(|c| c.is_busy).map(|c| (c.task, c.rounds)).collect();
    let too_soon = rounds.count(Duration::from_millis(1_500));
    let later = rounds.count(Duration::from_secs(3)).unwrap();

    assert_eq!(busy, [(Task::Messages, 2_100)]);
    assert_eq!(too_soon, None);
    assert!(later.iter().all(|c| c.rounds == 0 && !c.is_busy), "{later:?}");
}
