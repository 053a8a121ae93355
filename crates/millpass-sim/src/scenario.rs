//! Named scenarios.

use crate::plans::{Plan, Planner};
use crate::random::Random;
use crate::settings::{MILLIS, Settings};

const PLAN_STREAM: u64 = 4;

/// One scenario.
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Short description.
    pub summary: &'static str,
    /// Adjusts the settings and draws the plan.
    prepare: fn(&mut Planner),
}

impl Scenario {
    /// Returns the scenario with this name.
    pub fn named(name: &str) -> Option<&'static Scenario> {
        SCENARIOS.iter().find(|scenario| scenario.name == name)
    }

    /// Adjusts the settings and returns the plan for a seed.
    pub fn prepare(&self, seed: u64, settings: &mut Settings) -> Plan {
        let mut random = Random::new(seed, PLAN_STREAM);
        let mut planner = Planner {
            random: &mut random,
            settings,
            plan: Vec::new(),
        };
        (self.prepare)(&mut planner);
        planner.plan
    }
}

/// Draws a fault between once and `most` times.
fn repeat_random(planner: &mut Planner, most: u64, draw: fn(&mut Planner)) {
    for _ in 0..planner.random.between(1, most) {
        draw(planner);
    }
}

fn bursts(planner: &mut Planner) {
    planner.settings.load.bursts = 8;
    planner.settings.load.burst_requests = 24;
}

fn memory_pressure(planner: &mut Planner) {
    planner.settings.sizes.models = 12;
    planner.settings.sizes.engines = 4;
    planner.settings.times.unload = planner.random.between(80 * MILLIS, 1_500 * MILLIS);
    planner.settings.mechanisms.replayed_orders = true;
}

fn adapter_pressure(planner: &mut Planner) {
    planner.settings.sizes.models = 3;
    planner.settings.sizes.adapters = 8;
    planner.settings.sizes.adapter_bytes = 14_000;
    planner.settings.load.request_interval = 20 * MILLIS;
    planner.settings.times.unload = planner.random.between(80 * MILLIS, 800 * MILLIS);
    planner.settings.mechanisms.replayed_orders = true;
}

fn four_zones(planner: &mut Planner) {
    let sizes = &mut planner.settings.sizes;
    sizes.zones = 4;
    sizes.routers = 5;
    sizes.engines = 8;
    sizes.web = 4;
    everything(planner);
}

fn racing(planner: &mut Planner) {
    let load = &mut planner.settings.load;
    load.operators = 6;
    load.operator_pause = 800 * MILLIS;
    load.contested_objects = 8;
}

fn everything(planner: &mut Planner) {
    combine(planner, 3, 7);
}

/// Draws between `least` and `most` kinds of faults, some of them twice.
fn combine(planner: &mut Planner, least: u64, most: u64) {
    const DRAWS: &[fn(&mut Planner)] = &[
        |planner| planner.kill_control(),
        |planner| planner.kill_loading_engine(),
        |planner| planner.kill_engine(),
        |planner| planner.kill_web(),
        |planner| planner.kill_router(),
        |planner| planner.lose_disk(),
        |planner| planner.cut_zone(),
        |planner| planner.cut_one_way(),
        |planner| planner.freeze_leader(),
        |planner| planner.freeze_router(),
        |planner| planner.slow_store(),
        |planner| planner.reclaim_machine(),
        |planner| planner.bad_network(),
        |planner| planner.stale_reports(),
        |planner| planner.stop_control(),
        |planner| planner.stop_router(),
        |planner| planner.leave(),
        |planner| planner.kill_all_control(),
    ];
    if planner.random.chance(300) {
        bursts(planner);
    }
    if planner.random.chance(300) {
        racing(planner);
    }
    if planner.random.chance(300) {
        memory_pressure(planner);
    }
    let mut disks_lost = 0;
    for _ in 0..planner.random.between(least, most) {
        let draw = planner.random.index(DRAWS.len());
        let twice = planner.random.chance(300);
        for _ in 0..=u64::from(twice) {
            // Concurrent loss of several disks is not tolerated by the control group.
            const LOSE_DISK: usize = 5;
            if draw == LOSE_DISK {
                disks_lost += 1;
            }
            if draw != LOSE_DISK || disks_lost <= 1 {
                DRAWS[draw](planner);
            }
        }
    }
}

/// Every scenario.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "calm",
        summary: "nothing fails",
        prepare: |_| {},
    },
    Scenario {
        name: "cold-burst",
        summary: "bursts for cold models at all routers at once",
        prepare: bursts,
    },
    Scenario {
        name: "kill-control",
        summary: "control members, also the leader, are killed and restarted",
        prepare: |planner| repeat_random(planner, 3, |planner| planner.kill_control()),
    },
    Scenario {
        name: "kill-all-control",
        summary: "all control members are killed at once and restarted",
        prepare: |planner| {
            planner.settings.load.operators = 4;
            planner.settings.load.operator_pause = 300 * MILLIS;
            planner.settings.load.contested_objects = 8;
            repeat_random(planner, 2, |planner| planner.kill_all_control());
        },
    },
    Scenario {
        name: "memory-pressure",
        summary: "more models than fit, slow unloads, replayed orders, killed engines",
        prepare: |planner| {
            bursts(planner);
            memory_pressure(planner);
            repeat_random(planner, 2, |planner| planner.kill_loading_engine());
            repeat_random(planner, 2, |planner| planner.reclaim_machine());
        },
    },
    Scenario {
        name: "kill-engine-mid-load",
        summary: "engines are killed while they load and while they serve",
        prepare: |planner| {
            bursts(planner);
            repeat_random(planner, 3, |planner| planner.kill_loading_engine());
            repeat_random(planner, 2, |planner| planner.kill_engine());
            planner.kill_web();
        },
    },
    Scenario {
        name: "kill-router",
        summary: "routers are killed and restarted",
        prepare: |planner| repeat_random(planner, 3, |planner| planner.kill_router()),
    },
    Scenario {
        name: "lost-disk",
        summary: "a control member loses its disk and restarts with a new identity",
        prepare: |planner| planner.lose_disk(),
    },
    Scenario {
        name: "second-loss-after-repair",
        summary: "a second disk is lost during or soon after the repair of the first",
        prepare: |planner| planner.lose_second_disk(),
    },
    Scenario {
        name: "zone-cut",
        summary: "a zone is partitioned from the others",
        prepare: |planner| repeat_random(planner, 2, |planner| planner.cut_zone()),
    },
    Scenario {
        name: "one-way-cut",
        summary: "messages between zones pass in one direction only",
        prepare: |planner| repeat_random(planner, 2, |planner| planner.cut_one_way()),
    },
    Scenario {
        name: "frozen-leader",
        summary: "the leader freezes, also between a decision and the delivery of its order",
        prepare: |planner| repeat_random(planner, 2, |planner| planner.freeze_leader()),
    },
    Scenario {
        name: "frozen-router",
        summary: "routers freeze, also between a decision and the sending of its attempt",
        prepare: |planner| {
            repeat_random(planner, 3, |planner| planner.freeze_router());
            planner.leave();
        },
    },
    Scenario {
        name: "slow-store",
        summary: "the weight store slows down under bursts",
        prepare: |planner| {
            bursts(planner);
            repeat_random(planner, 2, |planner| planner.slow_store());
        },
    },
    Scenario {
        name: "machine-reclaimed",
        summary: "machines are reclaimed without notice and return empty",
        prepare: |planner| repeat_random(planner, 4, |planner| planner.reclaim_machine()),
    },
    Scenario {
        name: "bad-network",
        summary: "messages are delayed, lost, duplicated and reordered",
        prepare: |planner| repeat_random(planner, 2, |planner| planner.bad_network()),
    },
    Scenario {
        name: "stale-reports",
        summary: "load reports are delayed and lost, under bursts",
        prepare: |planner| {
            bursts(planner);
            repeat_random(planner, 2, |planner| planner.stale_reports());
        },
    },
    Scenario {
        name: "racing-operators",
        summary: "operators change the same objects concurrently",
        prepare: racing,
    },
    Scenario {
        name: "resent-changes",
        summary: "operators lose responses and resend changes, while control members are killed",
        prepare: |planner| {
            planner.settings.load.operators = 4;
            planner.settings.load.operator_pause = 600 * MILLIS;
            planner.settings.load.contested_objects = 6;
            planner.settings.load.resent_changes_permille = 500;
            repeat_random(planner, 2, |planner| planner.kill_control());
        },
    },
    Scenario {
        name: "restart-after-changes",
        summary: "a member and a router restart after hundreds of changes",
        prepare: |planner| {
            planner.settings.load.operators = 8;
            planner.settings.load.operator_pause = 120 * MILLIS;
            planner.settings.load.contested_objects = 64;
            planner.restart_after_changes();
        },
    },
    Scenario {
        name: "planned-stops",
        summary: "control members, routers and back ends are drained",
        prepare: |planner| {
            repeat_random(planner, 2, |planner| planner.stop_control());
            repeat_random(planner, 2, |planner| planner.stop_router());
            planner.leave();
        },
    },
    Scenario {
        name: "leaving-back-end",
        summary: "back ends leave during other faults",
        prepare: |planner| {
            repeat_random(planner, 3, |planner| planner.leave());
            match planner.random.below(4) {
                0 => planner.kill_control(),
                1 => planner.freeze_router(),
                2 => planner.cut_zone(),
                _ => planner.freeze_leader(),
            }
        },
    },
    Scenario {
        name: "adapter-pressure",
        summary: "more adapters than fit beside their model, slow unloads, replayed orders, kills",
        prepare: |planner| {
            adapter_pressure(planner);
            repeat_random(planner, 2, |planner| planner.kill_control());
            repeat_random(planner, 2, |planner| planner.reclaim_machine());
        },
    },
    Scenario {
        name: "four-zones",
        summary: "a random combination of faults, in four zones instead of three",
        prepare: four_zones,
    },
    Scenario {
        name: "storm",
        summary: "a random combination of more than twice as many faults",
        prepare: |planner| combine(planner, 8, 16),
    },
    Scenario {
        name: "everything",
        summary: "a random combination of faults, some of them twice",
        prepare: everything,
    },
];
