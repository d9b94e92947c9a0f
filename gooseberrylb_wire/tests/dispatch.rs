//! Tests of the message stream between entries and the dispatcher: messages survive any split into
//! reads, and incomplete or malformed ones are errors.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_std::task;
use futures::AsyncRead;
use gooseberrylb_policy::dispatch::{Decision, Key, Notice, Reason};
use gooseberrylb_wire::dispatch::{Answer, Question, Reader, append};
use proptest::prelude::*;
use std::time::Duration;

/// Reader that returns at most the given number of bytes per read, in rotation.
struct ChunkedReader {
    bytes: Vec<u8>,
    position: usize,
    lengths: Vec<usize>,
    reads: usize,
}

impl AsyncRead for ChunkedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let length = self.lengths[self.reads % self.lengths.len()];
        let length = length
            .min(buffer.len())
            .min(self.bytes.len() - self.position);
        buffer[..length].copy_from_slice(&self.bytes[self.position..self.position + length]);
        self.position += length;
        self.reads += 1;
        Poll::Ready(Ok(length))
    }
}

fn reader(bytes: Vec<u8>, lengths: Vec<usize>) -> Reader<ChunkedReader> {
    Reader::new(ChunkedReader {
        bytes,
        position: 0,
        lengths,
        reads: 0,
    })
}

fn key(number: u64) -> Key {
    Key {
        entry: "10.1.0.14".parse().unwrap(),
        incarnation: 7,
        number,
    }
}

fn answers(count: u64) -> Vec<Answer> {
    let retry_after = Duration::from_millis(300);
    (0..count)
        .flat_map(|number| {
            [
                Answer::Decided(key(number), Decision::Wait, None),
                Answer::Decided(
                    key(number),
                    Decision::Refuse(Reason::Busy, retry_after),
                    None,
                ),
                Answer::Taken(number),
            ]
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn messages_survive_any_split_into_reads(count in 0_u64..200, lengths in prop::collection::vec(1_usize..9_000, 1..8)) {
        let sent = answers(count);
        let mut bytes = Vec::new();
        for answer in &sent {
            append(answer, &mut bytes).unwrap();
        }
        let mut reader = reader(bytes, lengths);
        let mut read = Vec::new();
        task::block_on(async {
            while let Some(answer) = reader.next::<Answer>().await.unwrap() {
                read.push(answer);
            }
        });
        prop_assert_eq!(read, sent);
    }
}

#[test]
fn stream_that_ends_within_a_message_is_an_error() {
    let question = Question::Tell {
        number: 1,
        notice: Notice::default(),
    };
    let mut bytes = Vec::new();
    append(&question, &mut bytes).unwrap();
    bytes.pop();
    let mut reader = reader(bytes, vec![3]);
    assert!(task::block_on(reader.next::<Question>()).is_err());
}

#[test]
fn message_of_excessive_length_or_invalid_content_is_an_error() {
    for bytes in [vec![0xff; 64], vec![0, 0, 0, 1, 99]] {
        let mut reader = reader(bytes, vec![100]);
        assert!(task::block_on(reader.next::<Answer>()).is_err());
    }
}
