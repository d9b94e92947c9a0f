//! What a dispatcher is told of upstreams and crashes, and what it tells its entries and the
//! dispatchers of other shards.

use std::rc::Rc;

use async_channel::Sender;
use async_std::task;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::crash::Cause;
use gooseberrylb_policy::{availability, crash};
use gooseberrylb_wire::dispatch::Answer;

use super::{Host, session};
use crate::control::Core;
use crate::metrics::METRICS;

impl Host {
    /// Takes over what an entry or the dispatcher of another shard tells. What an entry tells is
    /// passed on to the other shards, whose upstreams it may concern.
    pub(super) fn announce(
        &self,
        core: &Rc<Core>,
        from: &id::Instance,
        announcements: Vec<Announcement>,
    ) {
        if !self.prepare(core) {
            return;
        }
        let now = core.clock.now();
        let directory = core.feed.borrow().directory().clone();
        if let Some(answers) = self.sessions.borrow().get(from)
            && is_entry(&directory, from)
        {
            let replies = self.dispatcher.borrow().replies(&announcements, now);
            send(from, answers, replies);
        }
        let news = self.dispatcher.borrow_mut().announce(announcements, now);
        if news.is_empty() {
            return;
        }
        news.iter().for_each(|news| log(from, news));
        if news.iter().any(is_crash) {
            let core = core.clone();
            task::spawn_local(async move {
                task::sleep(crash::SETTLING).await;
                core.dispatch.judge_crashes(&core);
            });
        }
        self.announce_to_entries(core, from, &news);
        let plan = core.plan(&directory);
        if !is_entry(&directory, from) || !plan.is_divided() {
            return;
        }
        let dispatchers = plan.shards().iter().flat_map(|shard| &shard.dispatchers);
        for name in dispatchers.filter(|name| **name != core.identity.name) {
            if let Some(session) = self.peer(core, name) {
                session.announce(news.clone());
            }
        }
    }

    /// Tells the dispatchers of the fleet, and the entries if this instance is one of these, what the
    /// leader has read from the platform's list.
    pub fn announce_listed(&self, core: &Rc<Core>, announcements: Vec<Announcement>) {
        if announcements.is_empty() {
            return;
        }
        let own = &core.identity.name;
        let mut news = announcements;
        if self.prepare(core) {
            let now = core.clock.now();
            news = self.dispatcher.borrow_mut().announce(news, now);
            news.iter().for_each(|news| log(own, news));
            self.announce_to_entries(core, own, &news);
        }
        let directory = core.feed.borrow().directory().clone();
        let plan = core.plan(&directory);
        let dispatchers = plan.shards().iter().flat_map(|shard| &shard.dispatchers);
        for name in dispatchers.filter(|name| *name != own) {
            if let Some(session) = self.peer(core, name) {
                session.announce(news.clone());
            }
        }
    }

    /// Blocks what crashes upstreams, and tells the entries. The dispatchers of
    /// other shards come to the same decision, since they are told of all crashes.
    fn judge_crashes(&self, core: &Core) {
        if !self.prepare(core) {
            return;
        }
        let news = self.dispatcher.borrow_mut().judge_crashes(core.clock.now());
        let own = &core.identity.name;
        news.iter().for_each(|news| log(own, news));
        self.announce_to_entries(core, own, &news);
    }

    /// Tells all entries of this dispatcher what is new, but for the one that it is from. They are told
    /// of crashes too, so that one that serves what is suspected says so.
    fn announce_to_entries(&self, core: &Core, from: &id::Instance, news: &[Announcement]) {
        if news.is_empty() {
            return;
        }
        let directory = core.feed.borrow().directory().clone();
        let sessions = self.sessions.borrow();
        for (name, answers) in sessions.iter() {
            if is_entry(&directory, name) && name != from {
                send(name, answers, news.to_vec());
            }
        }
    }
}

/// Queues announcements for an instance. An instance that does not read is told them in its next
/// session.
pub(super) fn send(
    instance: &id::Instance,
    answers: &Sender<Answer>,
    announcements: Vec<Announcement>,
) {
    if announcements.is_empty() {
        return;
    }
    let has_room = answers.len() < session::MAX_ANSWERS;
    if !has_room || answers.try_send(Answer::Announced(announcements)).is_err() {
        log::info!(entry:% = instance; "announcements were not delivered; the entry does not read");
    }
}

/// Whether an announcement is of a crash, which is judged later.
fn is_crash(announcement: &Announcement) -> bool {
    matches!(
        announcement,
        Announcement::Crash(crash::Report::Crashed { .. })
    )
}

/// Logs what an instance learned of an upstream or a crash, and from which one.
pub fn log(from: &id::Instance, announcement: &Announcement) {
    match announcement {
        Announcement::Upstream(report) => log_upstream(from, report),
        Announcement::Cold(cold) => {
            log::info!(
                upstream:% = cold.upstream, service:% = cold.service, left_ms = cold.left.as_millis() as u64, from:% = from;
                "an upstream is cold"
            );
        }
        Announcement::Crash(crash::Report::Crashed {
            upstream,
            causes,
            age,
        }) => {
            let causes: Vec<_> = causes.iter().map(Cause::to_string).collect();
            log::info!(
                upstream:% = upstream, causes = causes.join(", "), age_ms = age.as_millis() as u64, from:% = from;
                "an upstream crashed as it began a response"
            );
        }
        Announcement::Crash(crash::Report::Blocked {
            cause, left, times, ..
        }) => {
            METRICS.crash_causes.with_label_values(&["blocked"]).inc();
            let kind = cause.kind();
            METRICS.crash_blocks.with_label_values(&[kind]).inc();
            log::warn!(
                cause:% = cause, left_s = left.as_secs(), times = times, from:% = from;
                "refusing requests that crash upstreams"
            );
        }
        Announcement::Crash(crash::Report::Served { cause, .. }) => {
            METRICS.crash_causes.with_label_values(&["served"]).inc();
            log::info!(cause:% = cause, from:% = from; "a suspected cause of crashes is sound after all");
        }
    }
}

/// Logs what an instance learned of an upstream, and from which one.
fn log_upstream(from: &id::Instance, report: &availability::Report) {
    if report.leaving || report.closed_for.is_some() {
        log::info!(
            upstream:% = report.upstream, service:% = report.service, from:% = from,
            leaving = report.leaving,
            closed_ms = report.closed_for.map_or(0, |time| time.as_millis() as u64);
            "an upstream wants no requests"
        );
    }
    if let Some(limit) = report.limit {
        log::info!(
            upstream:% = report.upstream, service:% = report.service, from:% = from,
            per_second = limit.value.map_or("-".to_owned(), |rate| rate.to_string()),
            age_ms = limit.age.as_millis() as u64;
            "an upstream limits its requests"
        );
    }
    if let Some(tolerance) = report.tolerance {
        log::info!(
            upstream:% = report.upstream, service:% = report.service, from:% = from,
            tolerance = tolerance.value.map_or("-".to_owned(), |number| number.to_string()),
            age_ms = tolerance.age.as_millis() as u64;
            "an upstream says how many requests it can turn away"
        );
    }
}

/// Whether the other end of a session is an entry, and not the dispatcher of another shard. An entry
/// that has just started is not in the directory yet.
fn is_entry(directory: &Directory, name: &id::Instance) -> bool {
    directory.instances.get(name).is_none_or(|i| i.entry)
}
