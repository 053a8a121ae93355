//! Settings files of a fleet load in the product, addresses are unique, and limits are enforced.

use millpass_lab::deployment::Deployment;
use millpass_lab::fleet::bounds::{BoundsError, MachineMemory, check_before, check_running};
use millpass_lab::fleet::folder::WorkFolder;
use millpass_lab::fleet::lab_files::write_lab_files;
use millpass_lab::fleet::layout::Layout;
use millpass_lab::fleet::product_files::write_product_files;
use rstest::rstest;
use std::collections::BTreeSet;

#[rstest]
#[case("pnw")]
#[case("sicilia")]
fn settings_files_are_accepted_by_the_product(#[case] name: &str) {
    let deployment = Deployment::named(name).expect("an example");
    let temporary = tempfile::tempdir().expect("a folder");
    let folder = WorkFolder::create(temporary.path()).expect("a work folder");
    let layout = Layout::new(&deployment).expect("a layout");
    write_product_files(&folder, &deployment, &layout).expect("written");
    write_lab_files(&folder, &deployment, &layout).expect("written");
    for place in &layout.control {
        let file = folder.settings(&place.name);
        let settings = millpass_config::load_control(&file).expect("control settings");
        assert_eq!(settings.members.len(), 5);
        assert_eq!(settings.member.peer_address, place.reached_at.to_string());
    }
    for place in &layout.routers {
        let file = folder.settings(&place.name);
        let settings = millpass_config::load_router(&file).expect("router settings");
        assert_eq!(settings.router.zone, place.zone);
        assert_eq!(settings.control.members.len(), 5);
    }
}

#[test]
fn addresses_are_unique() {
    let deployment = Deployment::named("pnw").expect("an example");
    let layout = Layout::new(&deployment).expect("a layout");
    let place_addresses =
        |place: &millpass_lab::fleet::layout::Place| [place.listen, place.reached_at, place.second];
    let addresses: Vec<_> = layout.places().flat_map(place_addresses).collect();
    let unique: BTreeSet<_> = addresses.iter().collect();
    assert_eq!(unique.len(), addresses.len());
}

#[test]
fn a_folder_of_an_earlier_run_is_refused() {
    let temporary = tempfile::tempdir().expect("a folder");
    WorkFolder::create(temporary.path()).expect("a work folder");
    let error = WorkFolder::create(temporary.path()).expect_err("refused");
    assert!(error.to_string().contains("earlier run"));
}

#[test]
fn a_fleet_is_limited_to_half_of_the_machine_and_to_free_memory() {
    let deployment = Deployment::named("pnw").expect("an example");
    let bound = deployment.bounds.resident_bytes;
    let check = |total, available| check_before(&deployment, MachineMemory { total, available });
    assert_eq!(check(4 * bound, 4 * bound), Ok(()));
    let half = check(2 * bound - 1, 2 * bound - 1);
    assert!(matches!(half, Err(BoundsError::MoreThanHalf { .. })));
    let free = check(4 * bound, bound);
    assert!(matches!(free, Err(BoundsError::NotEnoughMemory { .. })));
    assert!(check_running(&deployment, bound + 1).is_err());
}
