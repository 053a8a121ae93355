//! The scenarios by name.

use crate::plans::{Plan, Planner};
use crate::random::Random;
use crate::settings::{MILLIS, Settings};

const PLAN_STREAM: u64 = 4;

/// One scenario.
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// What it provokes.
    pub summary: &'static str,
    /// Changes settings and draws the plan.
    prepare: fn(&mut Planner),
}

impl Scenario {
    /// The scenario of this name.
    pub fn named(name: &str) -> Option<&'static Scenario> {
        SCENARIOS.iter().find(|scenario| scenario.name == name)
    }

    /// Settings and plan of a seed.
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

/// Draws something as often as chance has it.
fn some(planner: &mut Planner, most: u64, draw: fn(&mut Planner)) {
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
    planner.settings.mechanisms.rogue_orders = true;
}

fn adapter_pressure(planner: &mut Planner) {
    planner.settings.sizes.models = 3;
    planner.settings.sizes.adapters = 8;
    planner.settings.sizes.adapter_bytes = 14_000;
    planner.settings.load.request_interval = 20 * MILLIS;
    planner.settings.times.unload = planner.random.between(80 * MILLIS, 800 * MILLIS);
    planner.settings.mechanisms.rogue_orders = true;
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

/// Combines so many kinds of faults, some of them twice.
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
            // More lost disks than a minority at a time is beyond what is promised.
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
        summary: "control members die, the leader too, and start again",
        prepare: |planner| some(planner, 3, |planner| planner.kill_control()),
    },
    Scenario {
        name: "kill-all-control",
        summary: "every control member dies at once and starts again",
        prepare: |planner| {
            planner.settings.load.operators = 4;
            planner.settings.load.operator_pause = 300 * MILLIS;
            planner.settings.load.contested_objects = 8;
            some(planner, 2, |planner| planner.kill_all_control());
        },
    },
    Scenario {
        name: "memory-pressure",
        summary: "more models than fit, slow unloads, old orders again, engines that die",
        prepare: |planner| {
            bursts(planner);
            memory_pressure(planner);
            some(planner, 2, |planner| planner.kill_loading_engine());
            some(planner, 2, |planner| planner.reclaim_machine());
        },
    },
    Scenario {
        name: "kill-engine-mid-load",
        summary: "engines die in the middle of a load, and while they serve",
        prepare: |planner| {
            bursts(planner);
            some(planner, 3, |planner| planner.kill_loading_engine());
            some(planner, 2, |planner| planner.kill_engine());
            planner.kill_web();
        },
    },
    Scenario {
        name: "kill-router",
        summary: "routers die and start again",
        prepare: |planner| some(planner, 3, |planner| planner.kill_router()),
    },
    Scenario {
        name: "lost-disk",
        summary: "a control member loses its disk and comes back under a new identity",
        prepare: |planner| planner.lose_disk(),
    },
    Scenario {
        name: "second-loss-after-repair",
        summary: "a second disk is lost right after, or during, the repair of the first",
        prepare: |planner| planner.lose_second_disk(),
    },
    Scenario {
        name: "zone-cut",
        summary: "a zone is cut off and comes back",
        prepare: |planner| some(planner, 2, |planner| planner.cut_zone()),
    },
    Scenario {
        name: "one-way-cut",
        summary: "messages pass in one direction only",
        prepare: |planner| some(planner, 2, |planner| planner.cut_one_way()),
    },
    Scenario {
        name: "frozen-leader",
        summary: "the leader freezes, also between a decision and its order, and wakes late",
        prepare: |planner| some(planner, 2, |planner| planner.freeze_leader()),
    },
    Scenario {
        name: "frozen-router",
        summary: "routers freeze, also between a decision and its attempt, and wake late",
        prepare: |planner| {
            some(planner, 3, |planner| planner.freeze_router());
            planner.leave();
        },
    },
    Scenario {
        name: "slow-store",
        summary: "the weight store slows down under bursts",
        prepare: |planner| {
            bursts(planner);
            some(planner, 2, |planner| planner.slow_store());
        },
    },
    Scenario {
        name: "machine-reclaimed",
        summary: "machines are taken without warning and come back empty",
        prepare: |planner| some(planner, 4, |planner| planner.reclaim_machine()),
    },
    Scenario {
        name: "bad-network",
        summary: "messages are late, lost, doubled and reordered",
        prepare: |planner| some(planner, 2, |planner| planner.bad_network()),
    },
    Scenario {
        name: "stale-reports",
        summary: "load reports are late and have gaps, under bursts",
        prepare: |planner| {
            bursts(planner);
            some(planner, 2, |planner| planner.stale_reports());
        },
    },
    Scenario {
        name: "racing-operators",
        summary: "operators race with equal versions",
        prepare: racing,
    },
    Scenario {
        name: "resent-changes",
        summary: "operators lose answers and send changes again, while leaders die",
        prepare: |planner| {
            planner.settings.load.operators = 4;
            planner.settings.load.operator_pause = 600 * MILLIS;
            planner.settings.load.contested_objects = 6;
            planner.settings.load.resent_changes_permille = 500;
            some(planner, 2, |planner| planner.kill_control());
        },
    },
    Scenario {
        name: "restart-after-changes",
        summary: "a member and a router start again after hundreds of changes",
        prepare: |planner| {
            planner.settings.load.operators = 8;
            planner.settings.load.operator_pause = 120 * MILLIS;
            planner.settings.load.contested_objects = 64;
            planner.restart_after_changes();
        },
    },
    Scenario {
        name: "planned-stops",
        summary: "control members, routers and back ends are stopped in an orderly way",
        prepare: |planner| {
            some(planner, 2, |planner| planner.stop_control());
            some(planner, 2, |planner| planner.stop_router());
            planner.leave();
        },
    },
    Scenario {
        name: "leaving-back-end",
        summary: "back ends leave while leaders die and routers freeze",
        prepare: |planner| {
            some(planner, 3, |planner| planner.leave());
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
        summary: "more adapters than fit beside their model, slow unloads, old orders again, kills",
        prepare: |planner| {
            adapter_pressure(planner);
            some(planner, 2, |planner| planner.kill_control());
            some(planner, 2, |planner| planner.reclaim_machine());
        },
    },
    Scenario {
        name: "four-zones",
        summary: "everything, in four zones instead of three",
        prepare: four_zones,
    },
    Scenario {
        name: "storm",
        summary: "everything, with more than twice as many faults",
        prepare: |planner| combine(planner, 8, 16),
    },
    Scenario {
        name: "everything",
        summary: "a random combination of all of these, some striking twice",
        prepare: everything,
    },
];
