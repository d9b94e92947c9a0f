//! RPC server for other instances' calls on the control plane.

use std::rc::Rc;

use capnp::Error;
use gooseberrylb_control::consensus::{Input, Message};
use gooseberrylb_wire::codec;
use gooseberrylb_wire::message::Report;
use gooseberrylb_wire::peer_capnp::control;
use serde::{Deserialize, Serialize};

use super::core::Core;
use super::query::Question;

/// Consensus message with its sender.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sender.
    pub from: gooseberrylb_config::id::Instance,
    /// Message for the consensus node.
    pub message: Message,
}

/// Implementation of the control plane's calls.
pub struct Server {
    core: Rc<Core>,
}

impl Server {
    /// Creates the server of one connection.
    pub fn new(core: Rc<Core>) -> Self {
        Self { core }
    }
}

impl control::Server for Server {
    async fn ping(
        self: Rc<Self>,
        _: control::PingParams,
        _: control::PingResults,
    ) -> Result<(), Error> {
        Ok(())
    }

    async fn consensus(
        self: Rc<Self>,
        params: control::ConsensusParams,
        _: control::ConsensusResults,
    ) -> Result<(), Error> {
        let envelope: Envelope = codec::decode(params.get()?.get_message()?)?;
        let (from, message) = (envelope.from, envelope.message);
        self.core.step(Input::Receive { from, message });
        Ok(())
    }

    async fn propose(
        self: Rc<Self>,
        params: control::ProposeParams,
        mut results: control::ProposeResults,
    ) -> Result<(), Error> {
        let command: Vec<u8> = params.get()?.get_command()?.to_vec();
        let limit = self.core.timing.proposal;
        let reply = self.core.propose_here(command.into(), limit).await;
        results.get().set_reply(&codec::encode(&reply)?);
        Ok(())
    }

    async fn follow(
        self: Rc<Self>,
        params: control::FollowParams,
        mut results: control::FollowResults,
    ) -> Result<(), Error> {
        let report: Report = codec::decode(params.get()?.get_report()?)?;
        let update = super::follow::answer(&self.core, report).await;
        results.get().set_update(&codec::encode(&update)?);
        Ok(())
    }

    async fn evidence(
        self: Rc<Self>,
        params: control::EvidenceParams,
        _: control::EvidenceResults,
    ) -> Result<(), Error> {
        let report = codec::decode(params.get()?.get_report()?)?;
        self.core.move_coordinator.merge(&self.core, report);
        Ok(())
    }

    async fn query(
        self: Rc<Self>,
        params: control::QueryParams,
        mut results: control::QueryResults,
    ) -> Result<(), Error> {
        let question: Question = codec::decode(params.get()?.get_question()?)?;
        let answer = self.core.query_here(&question);
        results.get().set_answer(&codec::encode(&answer)?);
        Ok(())
    }
}
