//! Links of one thread to other instances, by address.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use gooseberrylb_wire::handshake::{Greeting, Key};
use gooseberrylb_wire::link::Link;
use gooseberrylb_wire::plane::Plane;

use super::Identity;

/// Links to other instances on plane `P`; each is created when it is first requested.
pub struct Links<P: Plane> {
    key: Key,
    own: Greeting,
    links: RefCell<BTreeMap<SocketAddr, Rc<Link<P>>>>,
}

impl<P: Plane> Links<P> {
    /// Creates an empty set of links that identify themselves as `identity`.
    pub fn new(identity: &Identity) -> Self {
        let own = Greeting {
            instance: identity.name.clone(),
            incarnation: identity.incarnation,
            plane: P::KIND,
        };
        Self {
            key: identity.key.clone(),
            own,
            links: RefCell::default(),
        }
    }

    /// Returns the link to `address`, creating it if needed.
    pub fn to(&self, address: SocketAddr) -> Rc<Link<P>> {
        let mut links = self.links.borrow_mut();
        let make = || Link::new(address, self.key.clone(), self.own.clone());
        links.entry(address).or_insert_with(make).clone()
    }
}
