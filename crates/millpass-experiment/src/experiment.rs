//! Runs all strategies over all seeds on several threads.

use crate::catalog::Catalog;
use crate::curve::{Baselines, Point};
use crate::deployment::Deployment;
use crate::metrics::Measurements;
use crate::options::Seeds;
use crate::simulation::Simulation;
use crate::strategies::{Family, Strategy, strategies};
use crate::workload::Workload;
use crossbeam::channel;

/// Cold-start quantile that strategies are compared by.
pub const COMPARED_QUANTILE: f64 = 0.99;

/// Result of one strategy over all seeds.
#[derive(Clone, Debug)]
pub struct StrategyResult {
    /// Strategy.
    pub strategy: Strategy,
    /// Sums over the seeds.
    pub measurements: Measurements,
}

impl StrategyResult {
    /// Returns the point on the strategy's curve.
    pub fn point(&self) -> Point {
        let measured = &self.measurements;
        Point {
            idle: measured.idle_hours_a_day(),
            cold: measured.cold_start.quantile_seconds(COMPARED_QUANTILE),
        }
    }
}

/// Comparison of all strategies.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Deployment.
    pub deployment: Deployment,
    /// Seeds.
    pub seeds: Seeds,
    /// Days measured of each seed.
    pub days: usize,
    /// Results, in the order of [`strategies`].
    pub results: Vec<StrategyResult>,
}

impl Comparison {
    /// Runs all strategies over all seeds.
    pub fn run(
        deployment: Deployment,
        workload: Workload,
        seeds: Seeds,
        days: usize,
        threads: usize,
    ) -> Self {
        let catalog = Catalog::new(&deployment);
        let population = catalog.population(deployment.tenants.count);
        let traces: Vec<_> = (seeds.first..seeds.end)
            .map(|seed| workload.trace(population.clone(), days, seed))
            .collect();
        let strategies = strategies(&deployment);
        let (jobs, job_receiver) = channel::unbounded();
        for strategy in 0..strategies.len() {
            for trace in 0..traces.len() {
                jobs.send((strategy, trace)).expect("the queue is open");
            }
        }
        drop(jobs);
        let (done, results) = channel::unbounded();
        std::thread::scope(|scope| {
            for _ in 0..threads.max(1) {
                scope.spawn(|| {
                    for (strategy, trace) in job_receiver.iter() {
                        let settings = strategies[strategy].settings.clone();
                        let run = Simulation::new(&deployment, &catalog, &traces[trace], settings);
                        let started = std::time::Instant::now();
                        let measured = run.run();
                        eprintln!(
                            "event=run-done family={:?} parameter={:?} trace={trace} seconds={:.1}",
                            strategies[strategy].family,
                            strategies[strategy].parameter,
                            started.elapsed().as_secs_f64()
                        );
                        done.send((strategy, measured)).expect("the queue is open");
                    }
                });
            }
        });
        drop(done);
        let empty = Measurements::new(deployment.tenants.count, catalog.models.len());
        let mut sums = vec![empty; strategies.len()];
        for (strategy, measurements) in results.iter() {
            sums[strategy].add(&measurements);
        }
        let results = strategies.into_iter().zip(sums);
        let results = results.map(|(strategy, measurements)| StrategyResult {
            strategy,
            measurements,
        });
        Comparison {
            deployment,
            seeds,
            days,
            results: results.collect(),
        }
    }

    /// Returns the results of a family in the order of the parameter, without the deployment's own
    /// weights.
    pub fn family(&self, family: Family) -> impl Iterator<Item = &StrategyResult> {
        let results = self.results.iter();
        results.filter(move |one| one.strategy.family == family && !one.strategy.stated)
    }

    /// Returns the result for the deployment's own weights.
    pub fn stated(&self) -> Option<&StrategyResult> {
        self.results.iter().find(|one| one.strategy.stated)
    }

    /// Returns the curves of the baselines.
    pub fn baselines(&self) -> Baselines {
        let families = [
            Family::Fixed,
            Family::LeastRecentlyUsed,
            Family::AlwaysLoaded,
        ];
        let curves =
            families.map(|family| self.family(family).map(StrategyResult::point).collect());
        Baselines::new(curves.into())
    }
}
