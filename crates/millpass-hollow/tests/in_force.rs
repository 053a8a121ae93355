//! Times until a change is in force.

use millpass_hollow::measure::in_force;
use millpass_hollow::routers::Applied;
use std::time::{Duration, Instant};

#[test]
fn a_change_is_in_force_everywhere_when_the_last_router_has_it() {
    let begun = Instant::now();
    let applied = |router, from, to, millis| Applied {
        router,
        from,
        to,
        at: begun + Duration::from_millis(millis),
    };
    // The first router applies both changes in one delta; the second never applies the later one.
    let deltas = [applied(0, 3, 5, 20), applied(1, 3, 4, 30)];
    let submitted = [(4, begun), (5, begun)];
    let (each, everywhere) = in_force(&submitted, &deltas, 2);
    assert_eq!(each.len(), 3);
    assert_eq!(everywhere, [Duration::from_millis(30)]);
}
