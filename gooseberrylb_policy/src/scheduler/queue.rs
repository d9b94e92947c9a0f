//! The waiting requests: strict order between tiers, start-time fair queueing between the client
//! accounts of a tier.
//!
//! Each account of a tier has a virtual start tag. The account with the least tag is served next,
//! and its tag grows by the cost in tokens of what it was served, divided by its share: first by
//! what is expected, and once the request has ended by what it took. While two
//! accounts both wait, what they are served differs by at most one request's cost of each, each
//! divided by the account's share, whatever the sizes of their requests.

use std::collections::{BTreeMap, BTreeSet};

use gooseberrylb_config::id;
use gooseberrylb_config::number::Tier;

use crate::request::{Cost, Id};

/// Virtual time for each token of cost at a share of one; it keeps precision for large shares.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;

/// How many times its expected cost a request may be charged, whatever its upstream reports.
const MAX_CHARGE_FACTOR: u64 = 8;

/// The most idle accounts of a tier whose tags are kept.
const MAX_IDLE_ACCOUNTS: usize = 4096;

/// The cost in tokens that an account is charged.
pub fn charge(cost: Cost) -> u64 {
    cost.prompt.0.saturating_add(cost.output.0).max(1)
}

/// Where a request stands in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// Its tier.
    pub tier: Tier,
    /// Its account.
    pub account: id::Account,
    /// Its arrival, numbered over all tiers.
    pub arrival: u64,
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Item {
    /// The request.
    id: Id,
    /// What it is expected to take.
    cost: Cost,
}

/// Sums over waiting requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// The number of requests.
    pub requests: usize,
    /// The tokens to be read for them.
    pub prompt: u64,
    /// The tokens to be written for them.
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

    /// The tokens to be read and written.
    pub fn tokens(&self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// The waiting requests of one account in one tier.
#[derive(Debug)]
struct Backlog {
    /// The account's weight.
    share: u64,
    /// The virtual time at which its next request starts.
    start_tag: u64,
    /// The requests by arrival.
    items: BTreeMap<u64, Item>,
    /// Their sum.
    sum: Sum,
}

/// The waiting requests of one tier.
#[derive(Debug, Default)]
struct TierQueue {
    /// The accounts, idle ones included while their tag lies ahead.
    accounts: BTreeMap<id::Account, Backlog>,
    /// The accounts that wait, by tag.
    ready: BTreeSet<(u64, id::Account)>,
    /// The tag of the last request served.
    virtual_time: u64,
    /// The sum of what waits.
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

    fn forget_idle(&mut self) {
        if self.accounts.len() <= MAX_IDLE_ACCOUNTS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, backlog| !backlog.items.is_empty() || backlog.start_tag > virtual_time);
    }
}

/// The waiting requests of a scheduler.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<Tier, TierQueue>,
    arrivals: u64,
    sum: Sum,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a request in, behind all others of its tier and account.
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

    /// Takes a request back at its old position and gives its account back what it was charged.
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

    /// Takes a request out without charging its account.
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

    /// Takes a request out to be served, and charges its account.
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

    /// Charges an account what its request took in truth, in place of what was expected of it.
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

    /// The requests to be served next, at most `count`: the highest tier first, in it the account
    /// with the least tag, and of each account its oldest.
    pub fn next_to_serve(&self, count: usize) -> impl Iterator<Item = &Id> {
        self.tiers
            .values()
            .flat_map(|queue| queue.ready.iter().map(move |(_, account)| (queue, account)))
            .filter_map(|(queue, account)| queue.accounts.get(account)?.items.first_key_value())
            .map(|(_, item)| &item.id)
            .take(count)
    }

    /// The request to be shed next: the newest of the account whose backlog is largest for its
    /// share, in the lowest tier that waits. Newest first over all accounts would let one account's
    /// flood push out the others, which hold less than their share of the queue.
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

    /// What is expected to be served before a new request of the account.
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

    /// The sum of all that waits.
    pub fn sum(&self) -> Sum {
        self.sum
    }

    /// The sum of what waits in each tier.
    pub fn by_tier(&self) -> impl Iterator<Item = (Tier, Sum)> {
        self.tiers.iter().map(|(tier, queue)| (*tier, queue.sum))
    }

    /// The newest request of each account of each tier.
    pub fn newest(&self) -> impl Iterator<Item = &Id> {
        self.tiers
            .values()
            .flat_map(|queue| queue.accounts.values())
            .filter_map(|backlog| backlog.items.last_key_value())
            .map(|(_, item)| &item.id)
    }
}

impl TierQueue {
    /// While an account's own backlog is served, the others get work in proportion to their shares,
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
