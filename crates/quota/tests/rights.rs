//! Changes to the configuration, keys, fair sharing and allowances.

use base::{Name, Remedy, Resources};
use googletest::prelude::*;
use proptest::prelude::*;
use quota::{Allowances, Change, Config, Demand, Digester, Keyring, Principal, Team, Usage};
use wire::pb::{self, change_request::Change as PbChange};

fn size(cpu_milli: u32) -> Resources {
    Resources { cpu_milli, memory_mib: cpu_milli, accelerators: 0 }
}

fn team() -> Team {
    Team { share: 1, limit: size(1000), calls: 10, home_region: "r1".into() }
}

#[gtest]
fn changes_advance_version_and_store_only_key_digests() {
    let digester = Digester::new(b"secret");
    let put = Change::PutTeam("clerks".into(), team());
    let (config, _) = put.apply(&Config::default(), &digester).expect("the team is new");
    let grant = Change::GrantKey("k1".into(), Some("clerks".into()));
    let (config, key) = grant.apply(&config, &digester).expect("the key is new");
    let key = key.expect("a key was granted");
    expect_that!(config.version, eq(2));
    let bytes = config.encode().expect("the configuration is within the size limit");
    expect_that!(bytes.windows(key.len()).any(|w| w == key.as_bytes()), eq(false));
    expect_that!(Config::decode(&bytes), ok(eq(&config)));

    let keyring = Keyring::new(&config, digester.clone(), Some(digester.digest("first")));
    expect_that!(keyring.principal(&key), some(eq(&Principal::Team("clerks".into()))));
    expect_that!(keyring.principal("first"), some(eq(&Principal::Operator)));
    expect_that!(keyring.principal("other"), none());
    let other_secret = Keyring::new(&config, Digester::new(b"other"), None);
    expect_that!(other_secret.principal(&key), none());

    let (config, _) = Change::RemoveTeam("clerks".into()).apply(&config, &digester).unwrap();
    expect_that!(config.keys.is_empty(), eq(true));
}

#[gtest]
fn invalid_changes_give_remedy_and_field() {
    let digester = Digester::new(b"secret");
    let config = Config::default();
    let cases = [
        (Change::GrantKey("k".into(), Some("none".into())), Remedy::Find),
        (Change::WithdrawKey("k".into()), Remedy::Find),
        (Change::RemoveTeam("t".into()), Remedy::Find),
    ];
    for (change, remedy) in cases {
        let failure = change.apply(&config, &digester).expect_err("the change is invalid");
        expect_that!(failure.remedy, eq(remedy));
    }
    let invalid_name = PbChange::RemoveTeam(pb::RemoveTeam { name: "a b".to_owned() });
    let failure = Change::try_from(invalid_name).expect_err("the name is invalid");
    expect_that!(failure.reason, contains_substring("remove_team.name"));
    let put = pb::PutPolicy { kind: 1, placement: 0 };
    let failure = Change::try_from(PbChange::PutPolicy(put)).expect_err("the placement is missing");
    expect_that!(failure.reason, contains_substring("put_policy.placement"));
}

#[gtest]
fn weighted_share_is_least_for_team_furthest_below_its_share() {
    let mut usage = Usage::default();
    let capacity = size(1000);
    usage.add(&"a".into(), size(300));
    usage.add(&"b".into(), size(400));
    expect_that!(
        usage.weighted_share_ppm("a", 1, &capacity),
        lt(usage.weighted_share_ppm("b", 1, &capacity))
    );
    expect_that!(
        usage.weighted_share_ppm("a", 1, &capacity),
        gt(usage.weighted_share_ppm("b", 2, &capacity))
    );
    usage.remove(&"b".into(), size(400));
    expect_that!(usage.weighted_share_ppm("b", 1, &capacity), eq(0));
}

/// Adjustments of grants: index of the region, used and waiting resources, limit.
fn adjustments() -> impl Strategy<Value = Vec<(usize, u32, u32, u32)>> {
    proptest::collection::vec((0..3usize, 0..200u32, 0..200u32, 1..400u32), 1..60)
}

proptest! {
    #[test]
    fn sum_of_grants_never_rises_above_limit(adjustments in adjustments()) {
        let regions: [Name; 3] = ["a".into(), "b".into(), "c".into()];
        let team = Name::from("team");
        let mut allowances = Allowances::default();
        for (index, used, waiting, limit) in adjustments {
            let before = allowances.sum(&team);
            // A region uses no more than its grant.
            let used = size(used).min(&allowances.grant(&team, &regions[index]).amount);
            let demand = Demand { used, waiting: size(waiting) };
            allowances.adjust(&team, &regions[index], &size(limit), demand);
            let after = allowances.sum(&team);
            prop_assert!(after.fits(&size(limit)) || after.fits(&before));
            let caps = regions.iter().fold(Resources::ZERO, |sum, region| {
                sum + allowances.cap(&team, region, &size(limit))
            });
            prop_assert!(caps.fits(&size(limit)));
            // Resources in use stay granted.
            prop_assert!(used.fits(&allowances.grant(&team, &regions[index]).amount));
        }
    }

    #[test]
    fn decoders_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Config::decode(&bytes);
        let _ = Allowances::decode(&bytes);
    }
}
