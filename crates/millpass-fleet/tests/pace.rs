//! Guards against selection that treats engines of unequal speed alike, and against one that
//! treats equal engines differently.

mod harness;
mod mixed_engines;

use harness::at;
use millpass_fleet::{Fleet, FleetOutput};
use millpass_proto::*;
use mixed_engines::{Options, World, instance, new_leader, record};
use rstest::rstest;

const MIXED: Options = Options {
    gateways: 61,
    speeds: [0.6, 1.0, 1.6],
    paused: 15,
    learns: true,
    states_machine_time: true,
    requests_per_second: 480,
    engines: 60,
};

/// Engines of the lowest speed.
fn slow_engines() -> impl Iterator<Item = usize> {
    (0..10).chain(30..40)
}

/// Guards against learning that needs many responses at each gateway: at 986 gateways each sees an
/// engine once in two minutes.
#[rstest]
#[case::few(3, 15_000, 0.5)]
#[case::many(61, 15_000, 0.5)]
#[case::most(986, 6_000, 0.7)]
fn more_urgent_requests_are_served_in_time(
    #[case] gateways: usize,
    #[case] measured: u64,
    #[case] remaining: f64,
) {
    let late = |learns| {
        let mut world = World::new(Options {
            gateways,
            learns,
            ..MIXED
        });
        world.run(8_000);
        world.reset_served();
        world.run(8_000 + measured);
        println!(
            "gateways={gateways} learns={learns} in_time={:.4} of={} report_bytes={} update_bytes={}",
            world.served[0].share_in_time(),
            world.served[0].requests,
            world.report_bytes,
            world.update_bytes,
        );
        1.0 - world.served[0].share_in_time()
    };
    let (before, after) = (late(false), late(true));
    assert!(after < before * remaining, "{after} late, {before} without");
}

/// Guards against choices that follow the noise of the observed times.
#[rstest]
#[case::light(180)]
#[case::medium(480)]
#[case::heavy(900)]
fn equal_engines_are_chosen_as_without_knowledge(#[case] requests_per_second: u64) {
    let choices = |learns| {
        let mut world = World::new(Options {
            speeds: [1.0; 3],
            paused: 0,
            learns,
            requests_per_second,
            ..MIXED
        });
        world.run(20_000);
        world.choices
    };
    assert!(choices(true) == choices(false));
}

/// Guards against an engine that is avoided for as long as it is believed to be slow, and against
/// urgent requests being the ones that try it.
#[test]
fn engine_that_is_no_longer_slow_is_found_by_requests_that_can_wait() {
    let mut world = World::new(MIXED);
    world.run(15_000);
    let known = slow_engines().filter(|it| world.fleet.engine_pace(&instance(*it)) > 1.25);
    assert!(known.count() >= 15, "most slow engines are known");
    world.reset_served();
    world.run(25_000);
    let share = |class: usize| {
        let served = &world.served[class];
        let slow: u32 = slow_engines().map(|it| served.by_engine[it]).sum();
        f64::from(slow) / f64::from(served.requests)
    };
    println!("urgent={:.4} patient={:.4}", share(0), share(1));
    assert!(share(1) > share(0), "requests that can wait explore");
    for engine in slow_engines() {
        world.speeds[engine] = 1.6;
    }
    world.run(85_000);
    for engine in slow_engines() {
        let pace = world.fleet.engine_pace(&instance(engine));
        assert!(
            pace < 1.25,
            "engine {engine} is still believed slow: {pace}"
        );
    }
}

/// Guards against the speed of a former process run that is applied to its successor.
#[test]
fn engine_that_returns_is_learned_anew() {
    let mut world = World::new(MIXED);
    world.run(15_000);
    let slow = slow_engines().find(|it| world.fleet.engine_pace(&instance(*it)) > 1.25);
    let slow = slow.expect("a slow engine is known");
    let now = at(world.now);
    world.fleet.handle_announcement(now, record(slow), true);
    assert_eq!(world.fleet.engine_pace(&instance(slow)), 1.0);
    world.run(world.now + 1_000);
    assert_eq!(world.gateways[0].pace_factor(now, &instance(slow)), 1.0);
}

/// Guards against gateways that lose what was learned with the leader, or that keep it for ever.
#[test]
fn factors_outlast_the_leader_and_decay() {
    let mut world = World::new(Options { paused: 0, ..MIXED });
    world.run(15_000);
    let slow = slow_engines().find(|it| world.fleet.engine_pace(&instance(*it)) > 1.4);
    let slow = instance(slow.expect("a slow engine is known"));
    world.has_leader = false;
    let factor = |world: &World, now| world.gateways[0].pace_factor(at(now), &slow);
    let before = factor(&world, 15_000);
    assert!(before > 1.4);
    assert!(factor(&world, 20_000) >= before * 0.95);
    assert!(factor(&world, 110_000) < 1.02);
    world.replace_leader();
    assert_eq!(world.fleet.engine_pace(&slow), 1.0);
    world.has_leader = true;
    world.run(45_000);
    let relearned = slow_engines().filter(|it| world.fleet.engine_pace(&instance(*it)) > 1.25);
    assert!(relearned.count() >= 15, "the next leader learns them");
}

/// A leader that knows this many engines.
fn leader(engines: usize) -> Fleet {
    let mut fleet = new_leader();
    for number in 0..engines {
        fleet.handle_announcement(at(0), record(number), false);
    }
    fleet
}

fn report(sequence: u64, paces: Vec<EnginePaceSample>) -> GatewayReport {
    GatewayReport {
        gateway: "g".to_owned(),
        zone: "z".into(),
        sequence,
        version: 0,
        demand: Vec::new(),
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
        paces,
    }
}

fn sample(engine: usize, samples: u32, relative_time: u32, machine_time: u32) -> EnginePaceSample {
    EnginePaceSample {
        instance: instance(engine),
        samples,
        relative_time,
        machine_time,
    }
}

fn run(fleet: &mut Fleet, now: u64) -> Vec<FleetOutput> {
    fleet.run(at(now), 1, None, &harness::documents::EMPTY_CONTEXT)
}

fn events(outputs: &[FleetOutput], name: &str) -> usize {
    let is_named =
        |output: &&FleetOutput| matches!(output, FleetOutput::Event(event) if event.name == name);
    outputs.iter().filter(is_named).count()
}

/// Guards against a machine time that no longer changes and permanently distorts an engine's
/// speed: at 250, its typical times would count as those of an engine 2.5 times as fast.
#[test]
fn stuck_machine_time_is_ignored_and_logged_once() {
    let mut fleet = leader(5);
    let mut stuck = 0;
    for round in 1..400_u64 {
        let now = round * 300;
        let stated = |engine| if engine == 0 { 250 } else { 100 };
        let paces = (0..5).map(|it| sample(it, 1, 100, stated(it)));
        fleet.handle_report(at(now), 1, &report(round, paces.collect()));
        stuck += events(&run(&mut fleet, now), "machine-time-stuck");
    }
    assert_eq!(stuck, 1);
    assert_eq!(fleet.engine_pace(&instance(0)), 1.0);
}

/// Guards against reports of another version or of a faulty gateway that disturb the factors.
#[test]
fn absurd_reports_are_ignored() {
    let mut fleet = leader(5);
    for round in 1..100_u64 {
        let now = round * 300;
        let mut paces: Vec<_> = (0..5).map(|it| sample(it, 1, 100, 100)).collect();
        paces.extend([
            sample(0, 50, 0, 100),
            sample(0, 50, u32::MAX, 0),
            sample(1, 0, 5_000, u32::MAX),
            sample(77, 50, 5_000, 100),
        ]);
        fleet.handle_report(at(now), 1, &report(round, paces));
        run(&mut fleet, now);
    }
    for engine in (0..5).chain([77]) {
        assert_eq!(fleet.engine_pace(&instance(engine)), 1.0);
    }
}

/// Guards against updates that grow with the number of engines of unequal speed.
#[test]
fn updates_carry_a_bounded_number_of_factors() {
    let engines = 240;
    let mut fleet = leader(engines);
    let (mut sent, mut most, mut bytes) = (0, 0, 0);
    for round in 1..60_u64 {
        let now = round * 300;
        let time = |engine: usize| if engine < 150 { 300 } else { 100 };
        let paces = (0..engines).map(|it| sample(it, 5, time(it), 0));
        fleet.handle_report(at(now), 1, &report(round, paces.collect()));
        for output in run(&mut fleet, now) {
            if let FleetOutput::Update { update, .. } = output {
                sent += update.paces.len();
                most = most.max(update.paces.len());
                bytes = bytes.max(codec::encoded_bytes(&update.paces));
            }
        }
    }
    println!("sent={sent} most={most} bytes={bytes}");
    let entry = EnginePaceSample {
        instance: "engine-0123-4567~19a2b3c4d5e".into(),
        ..sample(0, 1, 150, 100)
    };
    let sizes = [0, 1, 2, 4, 5, 128].map(|count| codec::encoded_bytes(&vec![entry.clone(); count]));
    println!("report sizes {sizes:?}");
    assert!(most <= 128, "{most} factors in one update");
    assert!(sent >= 90, "all factors other than the median are sent");
}
