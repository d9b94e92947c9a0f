//! The queue of waiting requests: strict priority between tiers, and start-time fair queueing
//! between the client accounts of a tier.
//!
//! Each account of a tier has a virtual start tag. The account with the lowest tag is served next,
//! and its tag grows by the cost in tokens of the request served, divided by the account's share.
//! The expected cost is charged first and replaced by the actual cost when the request ends. While
//! two accounts are both waiting, the service they receive, each divided by its share, differs by
//! at most one request's cost of each, whatever the sizes of their requests.

use std::collections::{BTreeMap, BTreeSet};

use gooseberrylb_config::id;
use gooseberrylb_config::number::Tier;

use crate::request::{Cost, Id};

/// Virtual time per token of cost at a share of one; the factor keeps precision for large shares.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;

/// Maximum ratio of the charged cost of a request to its expected cost, whatever its upstream
/// reports.
const MAX_CHARGE_FACTOR: u64 = 8;

/// Number of accounts in a tier above which idle ones are forgotten, unless their start tag lies
/// ahead of the virtual time.
const MAX_IDLE_ACCOUNTS: usize = 4096;

/// Returns the number of tokens that an account is charged for `cost`.
pub fn charge(cost: Cost) -> u64 {
    cost.prompt.0.saturating_add(cost.output.0).max(1)
}

/// The position of a request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// The tier of the request.
    pub tier: Tier,
    /// The client account of the request.
    pub account: id::Account,
    /// The sequence number of the arrival, counted across all tiers.
    pub arrival: u64,
}

/// A waiting request and its expected cost.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Item {
    /// The request.
    id: Id,
    /// The expected cost.
    cost: Cost,
}

/// The totals of a set of waiting requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// The number of requests.
    pub requests: usize,
    /// The number of prompt tokens.
    pub prompt: u64,
    /// The expected number of output tokens.
    pub output: u64,
}

impl Sum {
    fn add(&mut self, cost: Cost) {
        self.requests += 1;
        self.prompt = self.prompt.saturating_add(cost.prompt.0);
        self.output = self.output.saturating_add(cost.output.0);
    }

    fn remove(&mut self, cost: Cost) {
        self.requests -= 1;
        self.prompt = self.prompt.saturating_sub(cost.prompt.0);
        self.output = self.output.saturating_sub(cost.output.0);
    }

    /// Returns the number of prompt and output tokens.
    pub fn tokens(&self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// The waiting requests of one account in one tier.
#[derive(Debug)]
struct Backlog {
    /// The account's weight for fair queueing.
    share: u64,
    /// The virtual time at which its next request starts.
    start_tag: u64,
    /// The requests by arrival.
    items: BTreeMap<u64, Item>,
    /// The totals of the requests.
    sum: Sum,
}

/// The waiting requests of one tier.
#[derive(Debug, Default)]
struct TierQueue {
    /// The accounts; idle ones are kept while their start tag lies ahead of the virtual time.
    accounts: BTreeMap<id::Account, Backlog>,
    /// The accounts with waiting requests, by start tag.
    ready: BTreeSet<(u64, id::Account)>,
    /// The start tag of the last request served.
    virtual_time: u64,
    /// The totals of the waiting requests.
    sum: Sum,
}

impl TierQueue {
    fn insert(&mut self, account: &id::Account, share: u32, arrival: u64, item: Item) {
        let virtual_time = self.virtual_time;
        let backlog = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| Backlog {
                share: 1,
                start_tag: virtual_time,
                items: BTreeMap::new(),
                sum: Sum::default(),
            });
        backlog.share = u64::from(share.max(1));
        if backlog.items.is_empty() {
            backlog.start_tag = backlog.start_tag.max(virtual_time);
            self.ready.insert((backlog.start_tag, account.clone()));
        }
        backlog.sum.add(item.cost);
        self.sum.add(item.cost);
        backlog.items.insert(arrival, item);
    }

    fn remove(&mut self, account: &id::Account, arrival: u64) -> Option<Item> {
        let backlog = self.accounts.get_mut(account)?;
        let item = backlog.items.remove(&arrival)?;
        backlog.sum.remove(item.cost);
        self.sum.remove(item.cost);
        if backlog.items.is_empty() {
            self.ready.remove(&(backlog.start_tag, account.clone()));
        }
        Some(item)
    }

    /// Replaces an account's start tag by the result of `change`, which gets the tag and the share.
    fn update_start_tag(&mut self, account: &id::Account, change: impl FnOnce(u64, u64) -> u64) {
        let Some(backlog) = self.accounts.get_mut(account) else {
            return;
        };
        let start_tag = change(backlog.start_tag, backlog.share);
        if !backlog.items.is_empty() {
            self.ready.remove(&(backlog.start_tag, account.clone()));
            self.ready.insert((start_tag, account.clone()));
        }
        backlog.start_tag = start_tag;
    }

    /// Forgets idle accounts that have no start tag ahead of the virtual time, if too many are
    /// kept.
    fn forget_idle(&mut self) {
        if self.accounts.len() <= MAX_IDLE_ACCOUNTS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, backlog| !backlog.items.is_empty() || backlog.start_tag > virtual_time);
    }
}

/// The queue of a scheduler.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<Tier, TierQueue>,
    arrivals: u64,
    sum: Sum,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a request behind all others of its tier and account, and returns its position.
    pub fn push(
        &mut self,
        tier: Tier,
        account: &id::Account,
        share: u32,
        id: Id,
        cost: Cost,
    ) -> Position {
        self.arrivals += 1;
        let position = Position {
            tier,
            account: account.clone(),
            arrival: self.arrivals,
        };
        self.insert(&position, share, id, cost);
        position
    }

    /// Returns a served request to its old position and refunds its account.
    pub fn put_back(&mut self, position: &Position, share: u32, id: Id, cost: Cost) {
        self.insert(position, share, id, cost);
        if let Some(queue) = self.tiers.get_mut(&position.tier) {
            queue.update_start_tag(&position.account, |start_tag, share| {
                start_tag.saturating_sub(charge(cost) * VIRTUAL_TIME_SCALE / share)
            });
        }
    }

    fn insert(&mut self, position: &Position, share: u32, id: Id, cost: Cost) {
        self.sum.add(cost);
        let queue = self.tiers.entry(position.tier).or_default();
        queue.forget_idle();
        queue.insert(
            &position.account,
            share,
            position.arrival,
            Item { id, cost },
        );
    }

    /// Removes a request without charging its account. Returns whether it was in the queue.
    pub fn remove(&mut self, position: &Position) -> bool {
        let Some(queue) = self.tiers.get_mut(&position.tier) else {
            return false;
        };
        match queue.remove(&position.account, position.arrival) {
            Some(item) => {
                self.sum.remove(item.cost);
                true
            }
            None => false,
        }
    }

    /// Removes a request to be served and charges its account. Returns whether it was in the queue.
    pub fn serve(&mut self, position: &Position) -> bool {
        let Some(queue) = self.tiers.get_mut(&position.tier) else {
            return false;
        };
        let Some(item) = queue.remove(&position.account, position.arrival) else {
            return false;
        };
        self.sum.remove(item.cost);
        if let Some(backlog) = queue.accounts.get(&position.account) {
            queue.virtual_time = queue.virtual_time.max(backlog.start_tag);
        }
        queue.update_start_tag(&position.account, |start_tag, share| {
            start_tag.saturating_add(charge(item.cost) * VIRTUAL_TIME_SCALE / share)
        });
        true
    }

    /// Replaces the expected cost charged to an account by the actual cost.
    pub fn correct(&mut self, position: &Position, expected: Cost, actual: Cost) {
        let Some(queue) = self.tiers.get_mut(&position.tier) else {
            return;
        };
        let expected = charge(expected);
        let actual = charge(actual).min(expected.saturating_mul(MAX_CHARGE_FACTOR));
        queue.update_start_tag(&position.account, |start_tag, share| {
            let refunded = start_tag.saturating_sub(expected * VIRTUAL_TIME_SCALE / share);
            refunded.saturating_add(actual * VIRTUAL_TIME_SCALE / share)
        });
    }

    /// Returns up to `count` requests to serve next: the highest tier first, within a tier by the
    /// accounts' start tags, and the oldest request of each account.
    pub fn next_to_serve(&self, count: usize) -> impl Iterator<Item = &Id> {
        self.tiers
            .values()
            .flat_map(|queue| queue.ready.iter().map(move |(_, account)| (queue, account)))
            .filter_map(|(queue, account)| queue.accounts.get(account)?.items.first_key_value())
            .map(|(_, item)| &item.id)
            .take(count)
    }

    /// Returns the request to shed next: in the lowest tier with waiting requests, the newest
    /// request of the account whose backlog is largest relative to its share. Shedding the newest
    /// request of all accounts would let one flooding account push out others that hold less than
    /// their share of the queue.
    pub fn next_to_shed(&self) -> Option<&Id> {
        let queue = self
            .tiers
            .values()
            .rev()
            .find(|queue| queue.sum.requests > 0)?;
        let heaviest = queue
            .ready
            .iter()
            .filter_map(|(_, account)| queue.accounts.get(account))
            .max_by_key(|backlog| backlog.sum.tokens() * VIRTUAL_TIME_SCALE / backlog.share)?;
        let (_, item) = heaviest.items.last_key_value()?;
        Some(&item.id)
    }

    /// Returns the totals of the requests expected to be served before a new request of the
    /// account.
    pub fn ahead(&self, tier: Tier, account: &id::Account, share: u32) -> Sum {
        let mut ahead = Sum::default();
        for queue in self.tiers.range(..tier).map(|(_, queue)| queue) {
            ahead.prompt += queue.sum.prompt;
            ahead.output += queue.sum.output;
            ahead.requests += queue.sum.requests;
        }
        let Some(queue) = self.tiers.get(&tier) else {
            return ahead;
        };
        let same_tier = queue.ahead(account, share);
        ahead.prompt += same_tier.prompt;
        ahead.output += same_tier.output;
        ahead.requests += same_tier.requests;
        ahead
    }

    /// Returns the totals of all waiting requests.
    pub fn sum(&self) -> Sum {
        self.sum
    }

    /// Returns the totals of the waiting requests of each tier.
    pub fn by_tier(&self) -> impl Iterator<Item = (Tier, Sum)> {
        self.tiers.iter().map(|(tier, queue)| (*tier, queue.sum))
    }

    /// Returns the newest request of each account of each tier.
    pub fn newest(&self) -> impl Iterator<Item = &Id> {
        self.tiers
            .values()
            .flat_map(|queue| queue.accounts.values())
            .filter_map(|backlog| backlog.items.last_key_value())
            .map(|(_, item)| &item.id)
    }
}

impl TierQueue {
    /// Estimates what is served before a new request of the account in this tier. While the
    /// account's own backlog is served, the others receive service in proportion to their shares,
    /// but no more than they have waiting.
    fn ahead(&self, account: &id::Account, share: u32) -> Sum {
        let own = self
            .accounts
            .get(account)
            .map(|backlog| backlog.sum)
            .unwrap_or_default();
        let own_share = u64::from(share.max(1));
        let other_shares: u64 = self
            .ready
            .iter()
            .filter(|(_, other)| other != account)
            .filter_map(|(_, other)| self.accounts.get(other))
            .map(|backlog| backlog.share)
            .sum();
        let scale = |own: u64, all: u64| {
            all.min(own.saturating_add(own.saturating_mul(other_shares) / own_share))
        };
        Sum {
            requests: self.sum.requests,
            prompt: scale(own.prompt, self.sum.prompt),
            output: scale(own.output, self.sum.output),
        }
    }
}
