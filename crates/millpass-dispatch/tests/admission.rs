//! Order, fairness and bounds of the queues of waiting requests.

use millpass_dispatch::admission::*;
use millpass_proto::*;
use proptest::prelude::*;

fn key(model: &str) -> ResourceKey {
    ResourceKey {
        service: "text".into(),
        model: Some(model.into()),
        adapter: None,
        software: None,
    }
}

fn terms(rank: u32, tenant: &str, due: u64) -> WaiterTerms {
    WaiterTerms {
        rank,
        tenant: Some(tenant.into()),
        due: Timestamp::from_millis(due),
        latest: Timestamp::from_millis(due * 2),
        late: false,
        tokens: 0,
        excluded: Vec::new(),
    }
}

fn join(queues: &mut AdmissionQueues, terms: WaiterTerms) -> (WaiterNumber, Joined) {
    let number = queues.next_number();
    let joined = queues.join(number, key("a"), terms, &Turn::default());
    (number, joined)
}

fn engine() -> InstanceId {
    "e-1".into()
}

fn first(queues: &AdmissionQueues) -> Option<WaiterNumber> {
    let first = queues.first_for(&key("a"), &engine(), |_| true);
    first.map(|(_, number)| number)
}

proptest! {
    /// Guards against an order other than by rank, then fair among tenants, then by deadline, also
    /// after requests have left.
    #[test]
    fn requests_are_called_by_rank_then_fairly_then_by_deadline(
        requests in prop::collection::vec((0_u32..3, 0_usize..4, 1_u64..50, prop::bool::ANY), 1..80),
    ) {
        let tenants = ["t-0", "t-1", "t-2", "t-3"];
        let mut queues = AdmissionQueues::default();
        let mut waiting = Vec::new();
        for (rank, tenant, due, leaves) in requests {
            let (number, joined) = join(&mut queues, terms(rank, tenants[tenant], due));
            prop_assert_eq!(joined, Joined::Waiting);
            if leaves {
                queues.leave(number);
            } else {
                waiting.push((number, rank, tenant, due));
            }
        }
        prop_assert_eq!(queues.len(), waiting.len());
        let mut served: Vec<(u32, usize)> = Vec::new();
        while let Some(number) = first(&queues) {
            let at = waiting.iter().position(|(other, ..)| *other == number);
            let (_, rank, tenant, due) = waiting.remove(at.expect("a waiting request"));
            queues.call(number, &engine());
            prop_assert!(queues.leave(number).is_some_and(|turn| turn.called_for == Some(engine())));
            prop_assert!(waiting.iter().all(|(_, other, ..)| *other >= rank), "rank");
            let own = waiting.iter().filter(|(_, other, owner, _)| (*other, *owner) == (rank, tenant));
            prop_assert!(own.map(|(.., other)| *other).all(|other| other >= due), "deadline");
            served.push((rank, tenant));
            for other in 0..tenants.len() {
                let waits = waiting.iter().any(|(_, level, owner, _)| (*level, *owner) == (rank, other));
                let count = |tenant| served.iter().filter(|entry| **entry == (rank, tenant)).count();
                prop_assert!(!waits || count(tenant) <= count(other) + 1, "fairness");
            }
        }
        prop_assert!(waiting.is_empty());
        prop_assert!(queues.is_empty());
        prop_assert_eq!(queues.reserved(&engine()), 0);
    }

    /// Guards against an estimate of the requests ahead that is lower than what happens, by which a
    /// request would be kept that cannot be served in time.
    #[test]
    fn no_more_requests_go_first_than_stated(
        requests in prop::collection::vec((0_u32..3, 0_usize..3, 1_u64..50), 1..40),
    ) {
        let tenants = ["t-0", "t-1", "t-2"];
        let mut queues = AdmissionQueues::default();
        for (rank, tenant, due) in &requests {
            join(&mut queues, terms(*rank, tenants[*tenant], *due));
        }
        // The last of its tenant and rank.
        let mine = terms(1, "t-1", 100);
        let stated = queues.ahead(&key("a"), &mine);
        let (number, _) = join(&mut queues, mine);
        let mut before = 0;
        while let Some(next) = first(&queues).filter(|next| *next != number) {
            queues.call(next, &engine());
            queues.leave(next);
            before += 1;
        }
        prop_assert!(before <= stated, "{} of {} stated", before, stated);
    }
}

/// Guards against unbounded memory with 10,000 callers for one model, and against callers of one
/// tenant that keep out the others.
#[test]
fn waiting_requests_are_bounded_for_each_tenant_and_in_total() {
    let mut queues = AdmissionQueues::default();
    let mut of_first = 0;
    for due in 0..10_000 {
        let (_, joined) = join(&mut queues, terms(1, "t-0", due));
        of_first += usize::from(joined == Joined::Waiting);
    }
    assert_eq!(of_first, MAX_WAITING_PER_TENANT);
    for due in 0..10_000 {
        let tenant = format!("t-{}", 1 + due % 7);
        join(&mut queues, terms(1, &tenant, due));
    }
    assert_eq!(queues.len(), MAX_WAITING);
}

/// Guards against an urgent request that is refused while less urgent ones wait, and against one
/// that displaces a request of its own rank.
#[test]
fn urgent_request_displaces_the_least_urgent_one() {
    let mut queues = AdmissionQueues::default();
    for due in 0..MAX_WAITING as u64 {
        let tenant = format!("t-{}", due % 8);
        join(&mut queues, terms(2, &tenant, due));
    }
    let (_, equal) = join(&mut queues, terms(2, "t-9", 0));
    assert_eq!(equal, Joined::Full);
    let (_, urgent) = join(&mut queues, terms(1, "t-9", 0));
    let Joined::Displaced(displaced) = urgent else {
        panic!("{urgent:?}");
    };
    assert_eq!(
        queues.take_called(),
        [displaced],
        "it must be refused at once"
    );
    let turn = queues.leave(displaced).expect("waiting");
    assert!(turn.displaced && turn.called_for.is_none(), "{turn:?}");
    assert_eq!(queues.len(), MAX_WAITING);
}

/// Guards against a request that is called over and over for an instance it cannot be sent to while
/// others wait, and against one that loses its place by being called in vain.
#[test]
fn request_called_in_vain_keeps_its_place_and_lets_the_next_go() {
    let mut queues = AdmissionQueues::default();
    let (first_number, _) = join(&mut queues, terms(1, "t-0", 10));
    let (second, _) = join(&mut queues, terms(1, "t-0", 20));
    queues.call(first_number, &engine());
    assert_eq!(queues.reserved(&engine()), 1);
    let turn = queues.leave(first_number).expect("waiting");
    queues.join(first_number, key("a"), terms(1, "t-0", 10), &turn);
    assert_eq!(queues.reserved(&engine()), 0);
    assert_eq!(first(&queues), Some(second));
    let elsewhere = queues.first_for(&key("a"), &"e-2".into(), |_| true);
    assert_eq!(elsewhere.map(|(_, number)| number), Some(first_number));
}

/// Guards against late requests that make those late that can still be served in time.
#[test]
fn late_request_comes_after_those_in_time() {
    let mut queues = AdmissionQueues::default();
    let late = WaiterTerms {
        late: true,
        ..terms(1, "t-0", 5)
    };
    join(&mut queues, late);
    let (in_time, _) = join(&mut queues, terms(1, "t-0", 900));
    assert_eq!(first(&queues), Some(in_time));
}
