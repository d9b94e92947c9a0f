//! Serves the calls of other instances to the schedulers and backups hosted here.

use std::rc::Rc;

use capnp::Error;
use gooseberrylb_wire::codec;
use gooseberrylb_wire::message::{Batch, Call, Notice};
use gooseberrylb_wire::peer_capnp::traffic;

use super::host::Host;

/// Implementation of the traffic interface.
pub struct Server {
    host: Rc<Host>,
}

impl Server {
    /// Creates the server for one link.
    pub fn new(host: Rc<Host>) -> Self {
        Self { host }
    }
}

impl traffic::Server for Server {
    async fn ping(
        self: Rc<Self>,
        _: traffic::PingParams,
        _: traffic::PingResults,
    ) -> Result<(), Error> {
        Ok(())
    }

    async fn enqueue(
        self: Rc<Self>,
        params: traffic::EnqueueParams,
        mut results: traffic::EnqueueResults,
    ) -> Result<(), Error> {
        let call: Call = codec::decode(params.get()?.get_call()?)?;
        let decision = self.host.enqueue(call).await;
        results.get().set_decision(&codec::encode(&decision)?);
        Ok(())
    }

    async fn notify(
        self: Rc<Self>,
        params: traffic::NotifyParams,
        mut results: traffic::NotifyResults,
    ) -> Result<(), Error> {
        let notice: Notice = codec::decode(params.get()?.get_notice()?)?;
        let receipt = self.host.notify(notice);
        results.get().set_receipt(&codec::encode(&receipt)?);
        Ok(())
    }

    async fn copy(
        self: Rc<Self>,
        params: traffic::CopyParams,
        mut results: traffic::CopyResults,
    ) -> Result<(), Error> {
        let batch: Batch = codec::decode(params.get()?.get_batch()?)?;
        let held = self.host.copy(batch);
        results.get().set_held(&codec::encode(&held)?);
        Ok(())
    }
}
