//! Keepers that the platform lists, which change as some are lost for good and others replace them.

use std::time::{Duration, Instant};

use anyhow::Context;
use async_std::{future, task};

use super::{Deployment, FIRST_ENTRY_HOST, KEY, OPERATOR_PORT, SEED_COUNT};
use crate::client::Operator;
use crate::proxy::Faults;
use crate::soak::lock;

/// Time by which the keepers that are named as seeds may be out of date.
const SEED_LAG: Duration = Duration::from_secs(3);

impl Deployment {
    /// Returns the host numbers of the keepers.
    pub fn keepers(&self) -> Vec<u8> {
        let lists = lock(&self.keeper_lists);
        lists
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    /// Lists the keepers that `change` leaves or adds.
    fn list_keepers(&self, change: impl FnOnce(&mut Vec<u8>)) {
        let mut keepers = self.keepers();
        change(&mut keepers);
        lock(&self.keeper_lists).push((Instant::now(), keepers));
    }

    /// Returns the keepers that are named as seeds in settings that are written now.
    pub(super) fn seeds(&self) -> Vec<u8> {
        let lists = lock(&self.keeper_lists);
        let is_old = |(at, _): &&(Instant, Vec<u8>)| at.elapsed() >= SEED_LAG;
        let list = lists.iter().rfind(is_old).or_else(|| lists.first());
        let hosts = list.into_iter().flat_map(|(_, list)| list);
        hosts.take(usize::from(SEED_COUNT)).copied().collect()
    }

    /// Returns the keeper that leads, as far as the keepers can tell in time.
    pub fn leader(&self, timeout: Duration) -> Option<u8> {
        let keepers = self.keepers();
        let addresses = keepers
            .iter()
            .map(|host| self.address(*host, OPERATOR_PORT));
        let operator = Operator::new(addresses.collect(), KEY);
        let status = future::timeout(timeout, operator.get("/v1/status"));
        let status = task::block_on(status).ok()?.ok()?;
        let name = status["leader"].as_str()?;
        let is_leader = |host: &u8| self.address(*host, 0).ip().to_string() == name;
        keepers.into_iter().find(is_leader)
    }

    /// Starts a new keeper with an empty disk in the data centre of `lost`, and lists it.
    pub fn add_successor(&self, lost: u8) -> anyhow::Result<u8> {
        let is_spare = |host: &u8| *host < FIRST_ENTRY_HOST && !self.has_started(*host);
        let host = self.processes.keys().copied().find(is_spare);
        let host = host.context("all spare keepers have been used")?;
        let data_centre = self.process(lost).data_centre;
        self.process(host).data_centre = data_centre;
        self.spawn(host, false)?;
        self.list_keepers(|keepers| keepers.push(host));
        Ok(host)
    }

    /// Removes a keeper from the list. Nothing answers at its address any more, or connections are
    /// refused.
    pub fn remove(&self, host: u8, is_silent: bool) {
        self.list_keepers(|keepers| keepers.retain(|keeper| *keeper != host));
        if is_silent {
            let links = self.links_of(host);
            links.for_each(|link| link.set_faults(Faults::frozen()));
        }
    }

    /// Whether an instance has ever been started.
    fn has_started(&self, host: u8) -> bool {
        self.process(host).home.exists()
    }
}
