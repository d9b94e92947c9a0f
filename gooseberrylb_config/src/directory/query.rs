//! Lookups in the directory for routing.

use super::{Cell, Directory, Share, View};
use crate::{id, note};

/// Version of a service with its share of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionShare<'a> {
    /// The version itself.
    pub version: &'a note::Version,
    /// Share of traffic, relative to the shares of the service's other versions.
    pub share: Share,
}

impl Directory {
    /// Returns the service with that name.
    pub fn service(&self, service: &id::Service) -> Option<&note::Service> {
        self.services.get(service)
    }

    /// Returns the service's route with that name.
    pub fn route(&self, service: &id::Service, route: &id::Route) -> Option<&note::Route> {
        let routes = &self.service(service)?.routes;
        routes.iter().find(|known| known.name == *route)
    }

    /// Returns the share of traffic that a version takes.
    pub fn share(&self, version: &id::Version) -> Share {
        self.shares.get(version).copied().unwrap_or(Share::NONE)
    }

    /// Returns the versions of a service, including those without traffic.
    pub fn versions_of<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = VersionShare<'a>> {
        let of_service = move |version: &&note::Version| version.service == *service;
        self.versions
            .values()
            .filter(of_service)
            .map(|version| VersionShare {
                version,
                share: self.share(&version.name),
            })
    }

    /// Returns the upstreams that run a version.
    pub fn upstreams_of<'a>(
        &'a self,
        version: &'a note::Version,
    ) -> impl Iterator<Item = &'a note::Upstream> {
        let names = version.upstreams.iter();
        names.filter_map(|name| self.upstreams.get(name))
    }

    /// Whether some version of the service takes traffic and has upstreams.
    pub fn is_served(&self, service: &id::Service) -> bool {
        self.versions_of(service)
            .any(|known| known.share > Share::NONE && !known.version.upstreams.is_empty())
    }

    /// Returns the view of a cell.
    pub fn view(&self, cell: &Cell) -> Option<&View> {
        let mut views = self.views.iter();
        views.find(|(known, _)| known == cell).map(|(_, view)| view)
    }

    /// Inserts or replaces the view of a cell.
    pub fn set_view(&mut self, cell: Cell, view: View) {
        match self.views.iter_mut().find(|(known, _)| *known == cell) {
            Some((_, known)) => *known = view,
            None => {
                self.views.push((cell, view));
                self.views.sort_by(|a, b| a.0.cmp(&b.0));
            }
        }
    }
}
