//! Orders to engines across lost answers, repeats and changes of the leader.

use std::time::{Duration, Instant};

use gooseberrylb_config::{id, number};
use gooseberrylb_policy::moves::order::{Answer, Input, Kind, Message, Order, Tracker};

const OLD: number::Fencing = number::Fencing(4);
const NEW: number::Fencing = number::Fencing(5);

fn order() -> Order {
    let upstream = id::Upstream::new("agronomo-07").unwrap();
    let kind = Kind::LoadModel(id::Model::new("grande").unwrap());
    Order::new(number::Note(12), upstream, kind)
}

fn answer(answer: Answer) -> Input {
    Input::Answer(order().id, answer)
}

/// Wants the order and has the engine say that it has not seen it, so that it is sent.
fn sent(book: &mut Tracker, now: Instant) {
    let asked = book.step(now, Input::Request(order()));
    assert_eq!(asked, [Message::Query(order())]);
    let sent = book.step(now, answer(Answer::Unknown));
    assert_eq!(sent, [Message::Send(order(), OLD)]);
}

#[test]
fn order_is_sent_once_and_confirmed() {
    let now = Instant::now();
    let mut book = Tracker::new(OLD, now);
    sent(&mut book, now);
    assert_eq!(book.step(now, Input::Request(order())), []);
    assert_eq!(book.step(now, answer(Answer::Done)), []);
    assert!(book.confirmed().contains(&order().id));
    let later = now + Duration::from_secs(3600);
    assert_eq!(book.step(later, Input::Tick), []);
}

#[test]
fn lost_answer_is_asked_about_and_never_guessed() {
    let now = Instant::now();
    let mut book = Tracker::new(OLD, now);
    sent(&mut book, now);
    assert_eq!(book.step(now, Input::Lost(order().id)), []);
    assert!(book.confirmed().is_empty());
    let later = now + Duration::from_secs(2);
    assert_eq!(book.step(later, Input::Tick), [Message::Query(order())]);
    book.step(later, answer(Answer::Done));
    assert!(book.confirmed().contains(&order().id));
}

#[test]
fn silent_engine_is_asked_again() {
    let now = Instant::now();
    let mut book = Tracker::new(OLD, now);
    sent(&mut book, now);
    assert_eq!(book.step(now + Duration::from_secs(1), Input::Tick), []);
    let later = now + Duration::from_secs(6);
    assert_eq!(book.step(later, Input::Tick), [Message::Query(order())]);
}

#[test]
fn new_leader_waits_out_the_lease_and_asks_before_it_sends() {
    let now = Instant::now();
    let from = now + Duration::from_secs(3);
    let mut book = Tracker::new(NEW, from);
    assert_eq!(book.step(now, Input::Request(order())), []);
    let early = from - Duration::from_millis(1);
    assert_eq!(book.step(early, Input::Tick), []);
    assert_eq!(book.step(from, Input::Tick), [Message::Query(order())]);
    assert_eq!(book.step(from, answer(Answer::Done)), []);
    assert!(book.confirmed().contains(&order().id));
}

#[test]
fn old_leader_orders_nothing_once_its_lease_lapsed() {
    let now = Instant::now();
    let mut book = Tracker::new(OLD, now);
    sent(&mut book, now);
    assert_eq!(book.step(now, Input::Stop), []);
    let later = now + Duration::from_secs(60);
    assert_eq!(book.step(later, Input::Request(order())), []);
    assert_eq!(book.step(later, answer(Answer::Unknown)), []);
    assert!(book.is_stopped());
}

#[test]
fn higher_fencing_number_stops_the_book() {
    let now = Instant::now();
    let mut book = Tracker::new(OLD, now);
    sent(&mut book, now);
    assert_eq!(book.step(now, answer(Answer::Fenced(NEW))), []);
    assert!(book.is_stopped());
    assert_eq!(book.step(now + Duration::from_secs(60), Input::Tick), []);
}

#[test]
fn refusal_is_kept_with_its_reason() {
    let now = Instant::now();
    let mut book = Tracker::new(OLD, now);
    sent(&mut book, now);
    book.step(now, answer(Answer::Refused("no memory".into())));
    assert_eq!(&*book.refused()[&order().id], "no memory");
}
