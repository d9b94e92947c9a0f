//! What routing asks of the configuration.

use super::{Cell, Directory, Share, View};
use crate::{id, note};

/// A version of a service with the share of traffic that it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionShare<'a> {
    /// The version.
    pub version: &'a note::Version,
    /// Its share; the shares of a service's versions are weighed against each other.
    pub share: Share,
}

impl Directory {
    /// The service of that name.
    pub fn service(&self, service: &id::Service) -> Option<&note::Service> {
        self.services.get(service)
    }

    /// The route of that name at that service.
    pub fn route(&self, service: &id::Service, route: &id::Route) -> Option<&note::Route> {
        let routes = &self.service(service)?.routes;
        routes.iter().find(|known| known.name == *route)
    }

    /// The share of traffic that a version takes.
    pub fn share(&self, version: &id::Version) -> Share {
        self.shares.get(version).copied().unwrap_or(Share::NONE)
    }

    /// The versions of a service, those without traffic too.
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

    /// The upstreams that run a version.
    pub fn upstreams_of<'a>(
        &'a self,
        version: &'a note::Version,
    ) -> impl Iterator<Item = &'a note::Upstream> {
        let names = version.upstreams.iter();
        names.filter_map(|name| self.upstreams.get(name))
    }

    /// Whether some version of the service takes traffic.
    pub fn is_served(&self, service: &id::Service) -> bool {
        self.versions_of(service)
            .any(|serving| serving.share > Share::NONE && !serving.version.upstreams.is_empty())
    }

    /// The view of a scheduler's domain.
    pub fn view(&self, cell: &Cell) -> Option<&View> {
        let mut views = self.views.iter();
        views.find(|(known, _)| known == cell).map(|(_, view)| view)
    }

    /// Puts a view in the place of the one before it.
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
