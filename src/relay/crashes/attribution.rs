//! Decides which causes the crashes of servers are put down to.
//!
//! A cause speaks for itself if requests with it were at one server after the other without an event when it crashed, and
//! no answer with it has begun since the first of these crashes. A request is refused only if it has everything that all
//! those requests had in common and that no answer has begun with: where two parts always came together, a request with
//! one of them is still sent, and tells them apart.

use std::{cmp::Reverse, time::Duration};

use super::{
    begun::Begun,
    cause::{CauseKey, Causes},
    evidence::Crash,
};
use crate::{
    relay::backends::Tag,
    util::{Instant, Map, Set},
};

/// Crashes from which a cause is refused.
const MIN_CRASHES: usize = 3;
/// Crashes from which a prompt part is refused where fewer would not be enough: answers with it began before, so that it has
/// only just become harmful, or may have begun before this host knew; no other answer of the service has begun meanwhile, so
/// that its servers may crash under any request; or it is in less than half of the crashes of that time, so that it may be
/// there by chance.
const CERTAIN_CRASHES: usize = 5;
/// Crashes from which a prompt part is refused whose answers began before, while too few others begin to tell whether the
/// servers crash under any request.
const CRASHES_WITHOUT_ANSWERS: usize = 12;
/// Crashes of which a rival may lack one: its request there may not have been told.
const CRASHES_TO_LACK_ONE: usize = 5;
/// Crashes from which a cause is refused though another one is in all of them as well and does not come with it.
const CRASHES_DESPITE_RIVALS: usize = 10;
/// Different requests from which a prompt part is refused. A request that is sent again after a crash is often at the next
/// one as well, whatever causes them.
const MIN_CONTENTS: usize = 3;
/// The same for a part whose answers began before: a sound part that is rare is at several crashes with two requests that are
/// sent again.
const MIN_CONTENTS_ONCE_SOUND: usize = 4;
/// Crashes within this time count as one for a prompt part: servers that end at the same moment do so for a common reason,
/// and requests with a frequent part are at all of them. A crash whose requests with the part were all sent on from an earlier
/// one of that time counts by itself.
const SAME_MOMENT: Duration = Duration::from_millis(100);

/// A cause that crashes are put down to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attribution {
    /// The cause.
    pub cause: CauseKey,
    /// What else all suspicious requests with it have in common.
    pub others: Vec<CauseKey>,
    /// The servers that crashed.
    pub servers: Vec<Tag>,
    /// When the first of them did.
    pub since: Instant,
    /// When the last of them did.
    pub last: Instant,
}

/// What speaks against one cause.
#[derive(Debug)]
struct Case {
    is_content: bool,
    service: u32,
    /// Positions of the crashes, in order.
    crashes: Vec<usize>,
    /// Contents of the suspicious requests with it, by crash.
    contents: Vec<Set<CauseKey>>,
    /// Causes that all suspicious requests with it have in common, itself included.
    common: Vec<CauseKey>,
}

/// Requests that are known to crash servers: those with all of `causes`, and the servers that crashed by them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// What such a request contains.
    pub causes: Vec<CauseKey>,
    /// The servers.
    pub servers: Vec<Tag>,
}

/// The causes that crashes are put down to, as far as they are not put down to others already.
#[derive(Debug)]
struct Inquiry<'a> {
    /// In the order of their time.
    crashes: &'a [(Tag, &'a Crash)],
    /// For each crash that is explained, what the requests contain that are known to have caused it.
    explained: Vec<Option<Vec<CauseKey>>>,
    begun: &'a Begun,
}

/// The causes that `crashes`, in the order of their time, are put down to.
pub fn attribute(crashes: &[(Tag, &Crash)], known: &[Known], begun: &Begun) -> Vec<Attribution> {
    let explained = crashes.iter().map(|(server, crash)| explain(*server, crash, known)).collect();
    let mut inquiry = Inquiry { crashes, explained, begun };
    let mut found: Vec<Attribution> = Vec::new();
    while crashes.len() >= MIN_CRASHES {
        let new = inquiry.strongest(&found);
        if new.is_empty() {
            break;
        }
        new.iter().for_each(|attribution| inquiry.set_explained(attribution));
        found.extend(new);
    }
    found
}

/// Whether this host knows better than another one that puts the crashes of `servers` down to a cause: answers with it began
/// here before, so that more crashes are needed, or another cause is in all of them.
pub fn objects(
    crashes: &[(Tag, &Crash)],
    begun: &Begun,
    cause: CauseKey,
    others: &[CauseKey],
    servers: &[Tag],
) -> bool {
    if servers.len() < CERTAIN_CRASHES && begun.last(cause).is_some() {
        return true;
    }
    let position = |server: &Tag| crashes.iter().position(|(tag, _)| tag == server);
    let Some(positions) = servers.iter().map(position).collect::<Option<Vec<_>>>() else { return false };
    if positions.is_empty() || positions.len() >= CRASHES_DESPITE_RIVALS {
        return false;
    }
    let inquiry = Inquiry { crashes, explained: vec![None; crashes.len()], begun };
    let is_rival = |(other, rival): (&CauseKey, &Case)| {
        let is_apart = *other != cause && !others.contains(other);
        is_apart && covers(&rival.crashes, &positions)
    };
    inquiry.cases().iter().any(is_rival)
}

/// Puts crashes down to a content if it is in enough of them. The same content cannot be at one server after the other by
/// chance as a part that many requests share can.
pub fn attribute_content(crashes: &[(Tag, &Crash)], begun: &Begun, content: CauseKey) -> Option<Attribution> {
    let has_it = |crash: &Crash| crash.suspects().iter().any(|s| s.content == Some(content));
    let counts = |crash: &Crash| has_it(crash) && !begun.is_since(crash.at, content);
    let its: Vec<_> = crashes.iter().filter(|(_, crash)| counts(crash)).collect();
    if its.len() < MIN_CRASHES {
        return None;
    }
    let (first, last) = (its.first()?.1.at, its.last()?.1.at);
    let servers = its.iter().map(|(server, _)| *server).collect();
    Some(Attribution { cause: content, others: Vec::new(), servers, since: first, last })
}

/// What the requests contain that are known to have caused a crash.
fn explain(server: Tag, crash: &Crash, known: &[Known]) -> Option<Vec<CauseKey>> {
    let by_request =
        known.iter().find(|known| crash.suspects().iter().any(|s| contains_all(s, &known.causes)));
    let by_server = || known.iter().find(|known| known.servers.contains(&server));
    by_request.or_else(by_server).map(|known| known.causes.clone())
}

fn contains_all(suspect: &Causes, causes: &[CauseKey]) -> bool {
    causes.iter().all(|key| suspect.contains(*key))
}

impl Inquiry<'_> {
    /// Collects what speaks against each cause. What an answer began with after a crash does not count for that crash, and
    /// neither do requests beside the one that caused it.
    fn cases(&self) -> Map<CauseKey, Case> {
        let mut cases: Map<CauseKey, Case> = Map::default();
        for (position, (_, crash)) in self.crashes.iter().enumerate() {
            let counts = |s: &&Causes| match &self.explained[position] {
                Some(causes) => contains_all(s, causes),
                None => true,
            };
            for suspect in crash.suspects().iter().filter(counts) {
                let remaining: Vec<_> =
                    suspect.iter().filter(|key| !self.begun.is_since(crash.at, *key)).collect();
                for key in &remaining {
                    let case = cases.entry(*key).or_insert_with(|| Case {
                        is_content: suspect.content == Some(*key),
                        service: suspect.service,
                        crashes: Vec::new(),
                        contents: Vec::new(),
                        common: remaining.clone(),
                    });
                    if case.crashes.last() != Some(&position) {
                        case.crashes.push(position);
                        case.contents.push(Set::default());
                    }
                    case.common.retain(|other| remaining.contains(other));
                    if let Some(contents) = case.contents.last_mut() {
                        contents.extend(suspect.content);
                    }
                }
            }
        }
        cases
    }

    /// The cause in most crashes, if these are enough, and those that are in the same requests.
    fn strongest(&self, found: &[Attribution]) -> Vec<Attribution> {
        let mut cases = self.cases();
        cases.retain(|key, _| found.iter().all(|attribution| attribution.cause != *key));
        let mut enough: Vec<_> =
            cases.iter().filter(|(key, case)| self.is_enough(**key, case)).map(|(key, _)| *key).collect();
        enough.sort_by_key(|key| (Reverse(cases[key].crashes.len()), !cases[key].is_content, *key));
        let Some(first) = enough.iter().find(|key| self.stands_out(**key, &cases)) else { return Vec::new() };
        let case = &cases[first];
        let is_inseparable =
            |key: &&CauseKey| cases[*key].crashes == case.crashes && cases[*key].common.contains(first);
        enough.iter().filter(is_inseparable).map(|key| self.attribution(*key, &cases[key])).collect()
    }

    /// Whether no other cause is in all crashes that a cause is in, but for those that its requests must have as well, or there
    /// are enough crashes all the same.
    fn stands_out(&self, key: CauseKey, cases: &Map<CauseKey, Case>) -> bool {
        let case = &cases[&key];
        let is_rival = |(other, rival): (&CauseKey, &Case)| {
            !case.common.contains(other) && covers(&rival.crashes, &case.crashes)
        };
        case.crashes.len() >= CRASHES_DESPITE_RIVALS || !cases.iter().any(is_rival)
    }

    /// Whether the crashes that speak against a cause are enough.
    fn is_enough(&self, key: CauseKey, case: &Case) -> bool {
        if case.is_content {
            return case.crashes.len() >= MIN_CRASHES;
        }
        let since = self.time(case.crashes.first());
        let is_new = self.begun.is_new(since, key, case.service);
        let min_contents = if is_new { MIN_CONTENTS } else { MIN_CONTENTS_ONCE_SOUND };
        if case.contents.iter().flatten().collect::<Set<_>>().len() < min_contents {
            return false;
        }
        let lacks_answers = self.begun.lacks(since, key, case.service);
        let is_in_most = case.crashes.len() * 2 >= self.unexplained_between(case);
        let required = match (is_new, lacks_answers) {
            (true, true) if is_in_most => MIN_CRASHES,
            (true, _) | (_, true) => CERTAIN_CRASHES,
            (false, false) => CRASHES_WITHOUT_ANSWERS,
        };
        self.moments(case) >= required
    }

    /// Number of crashes, with those of the same moment counted once unless the requests of one were sent on from another.
    fn moments(&self, case: &Case) -> usize {
        let mut moments = 0;
        let mut began: Option<Instant> = None;
        let mut seen: Set<CauseKey> = Set::default();
        for (position, contents) in case.crashes.iter().zip(&case.contents) {
            let at = self.time(Some(position));
            let is_same = began.is_some_and(|first| at < first + SAME_MOMENT);
            if !is_same {
                (began, seen) = (Some(at), Set::default());
            }
            moments += usize::from(!is_same || contents.is_subset(&seen));
            seen.extend(contents);
        }
        moments
    }

    /// Number of crashes from the first to the last that a cause is in, without those that are put down to others.
    fn unexplained_between(&self, case: &Case) -> usize {
        let (Some(first), Some(last)) = (case.crashes.first(), case.crashes.last()) else { return 0 };
        let counts =
            |position: &usize| self.explained[*position].is_none() || case.crashes.contains(position);
        (*first..=*last).filter(counts).count()
    }

    fn attribution(&self, cause: CauseKey, case: &Case) -> Attribution {
        Attribution {
            cause,
            others: case.common.iter().copied().filter(|other| *other != cause).collect(),
            servers: case.crashes.iter().map(|position| self.crashes[*position].0).collect(),
            since: self.time(case.crashes.first()),
            last: self.time(case.crashes.last()),
        }
    }

    fn set_explained(&mut self, attribution: &Attribution) {
        let causes = || [&[attribution.cause], &*attribution.others].concat();
        for (position, (server, _)) in self.crashes.iter().enumerate() {
            if attribution.servers.contains(server) {
                self.explained[position].get_or_insert_with(causes);
            }
        }
    }

    fn time(&self, position: Option<&usize>) -> Instant {
        position.map_or(Instant::ZERO, |position| self.crashes[*position].1.at)
    }
}

/// Whether a rival is in all crashes, or in so many that it may be in all.
fn covers(rival: &[usize], crashes: &[usize]) -> bool {
    let lacking = crashes.iter().filter(|position| !rival.contains(position)).count();
    lacking == 0 || (lacking == 1 && crashes.len() >= CRASHES_TO_LACK_ONE)
}
