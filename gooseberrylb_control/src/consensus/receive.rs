//! Admission of received messages by cluster and data folder, and their dispatch to the handlers.

use gooseberrylb_config::id;

use super::follower::{AppendRequest, SnapshotPart};
use super::message::{Body, Message};
use super::node::Node;

impl Node {
    /// Handles a message according to the clusters of sender and receiver; messages from a
    /// different cluster are dropped.
    pub(super) fn receive(&mut self, from: id::Instance, message: Message) {
        match (self.cluster, message.cluster) {
            (Some(own), Some(other)) if own != other => {}
            (Some(_), Some(_)) => self.receive_member(from, message),
            (Some(_), None) => self.receive_from_unformed(from, &message),
            (None, Some(_)) => self.receive_invitation(from, message),
            (None, None) => self.receive_founder(from, message),
        }
    }

    /// Handles a message from an instance without a cluster, which conveys nothing but its folder.
    fn receive_from_unformed(&mut self, from: id::Instance, message: &Message) {
        if self.membership.folder(&from) != Some(message.folder) {
            self.unexpected_folders.insert(from, message.folder);
        }
    }

    /// Handles a message from a cluster at a node without one. The node joins only if the cluster
    /// lists its folder, so that it never votes in place of a lost folder.
    fn receive_invitation(&mut self, from: id::Instance, message: Message) {
        if message.addressee != Some(self.identity.folder) {
            self.reject_misaddressed(&from, &message);
            return;
        }
        match message.body {
            Body::Append { .. }
            | Body::Snapshot { .. }
            | Body::PreVote { .. }
            | Body::Vote { .. } => {
                if let Some(cluster) = message.cluster {
                    self.join_cluster(cluster);
                    self.dispatch(from, message);
                }
            }
            Body::Probe { .. }
            | Body::Stranger
            | Body::PreVoteAnswer { .. }
            | Body::VoteAnswer { .. }
            | Body::AppendAnswer { .. }
            | Body::SnapshotAnswer { .. } => {}
        }
    }

    /// Handles a message between founders without a cluster.
    fn receive_founder(&mut self, from: id::Instance, message: Message) {
        let Message {
            folder, term, body, ..
        } = message;
        match body {
            Body::Probe { folders } => self.handle_probe(from, folder, folders),
            Body::Vote { last } => self.handle_ballot(from, folder, term, last),
            Body::VoteAnswer { granted } => self.handle_ballot_answer(from, folder, term, granted),
            Body::Append { entries, .. } => {
                self.handle_ballot_proposal(from, folder, term, &entries);
            }
            Body::AppendAnswer { matched, .. } => {
                self.handle_ballot_acceptance(from, folder, term, matched);
            }
            Body::Stranger
            | Body::PreVote { .. }
            | Body::PreVoteAnswer { .. }
            | Body::Snapshot { .. }
            | Body::SnapshotAnswer { .. } => {}
        }
    }

    fn receive_member(&mut self, from: id::Instance, message: Message) {
        if message
            .addressee
            .is_some_and(|folder| folder != self.identity.folder)
        {
            self.reject_misaddressed(&from, &message);
            return;
        }
        let known = self.membership.folder(&from);
        if known == Some(message.folder) {
            self.unexpected_folders.remove(&from);
        } else {
            self.unexpected_folders.insert(from.clone(), message.folder);
        }
        let has_replaced_folder = known.is_some_and(|folder| folder != message.folder);
        if has_replaced_folder && message.body.is_answer() {
            return;
        }
        self.dispatch(from, message);
    }

    /// Tells the sender that it addressed this node with a folder the node does not hold.
    fn reject_misaddressed(&mut self, from: &id::Instance, message: &Message) {
        if message.addressee.is_some() && !message.body.is_answer() {
            self.send(from, Body::Stranger);
        }
    }

    fn dispatch(&mut self, from: id::Instance, message: Message) {
        let Message {
            folder, term, body, ..
        } = message;
        if body.is_answer() && !body.is_granted_pre_vote() && term > self.term {
            self.become_follower(term, None);
        }
        match body {
            Body::Probe { .. } | Body::Stranger => {}
            Body::PreVote { last } => self.handle_pre_vote(&from, folder, term, last),
            Body::PreVoteAnswer { granted } => self.handle_pre_vote_answer(from, term, granted),
            Body::Vote { last } => self.handle_vote(&from, folder, term, last),
            Body::VoteAnswer { granted } => self.handle_vote_answer(from, term, granted),
            Body::Append {
                previous,
                entries,
                committed,
                round,
            } => {
                let request = AppendRequest {
                    previous,
                    entries,
                    committed,
                    round,
                };
                self.handle_append(&from, term, request);
            }
            Body::AppendAnswer {
                round,
                matched,
                received,
                conflict,
            } => self.handle_append_answer(&from, term, round, matched, received, conflict),
            Body::Snapshot {
                covers,
                membership,
                size,
                offset,
                part,
                round,
            } => {
                let part = SnapshotPart {
                    covers,
                    membership,
                    size,
                    offset,
                    bytes: part,
                    round,
                };
                self.handle_snapshot_part(&from, term, part);
            }
            Body::SnapshotAnswer {
                covers,
                received,
                round,
            } => self.handle_snapshot_answer(&from, term, round, covers, received),
        }
    }
}
