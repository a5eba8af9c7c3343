//! Configurations, keys, allowances and shares.

use base::{Name, Remedy, Resources};
use googletest::prelude::*;
use proptest::prelude::*;
use quota::{Allowances, Change, Config, Demand, Digester, Keyring, Principal, Team, Usage};
use wire::pb::{self, change_request::Change as Wanted};

fn size(cpu_milli: u32) -> Resources {
    Resources { cpu_milli, memory_mib: cpu_milli, accelerators: 0 }
}

fn team() -> Team {
    Team { share: 1, limit: size(1000), calls: 10, home_region: "r1".into() }
}

#[gtest]
fn changes_make_versions_and_keys_are_kept_as_digests() {
    let digester = Digester::new(b"secret");
    let put = Change::PutTeam("clerks".into(), team());
    let (config, _) = put.apply(&Config::default(), &digester).expect("the team is new");
    let grant = Change::GrantKey("k1".into(), Some("clerks".into()));
    let (config, key) = grant.apply(&config, &digester).expect("the key is new");
    let key = key.expect("a key was granted");
    expect_that!(config.version, eq(2));
    let bytes = config.encode().expect("it is small");
    expect_that!(bytes.windows(key.len()).any(|w| w == key.as_bytes()), eq(false));
    expect_that!(Config::decode(&bytes), ok(eq(&config)));

    let ring = Keyring::new(&config, digester.clone(), Some(digester.digest("first")));
    expect_that!(ring.principal(&key), some(eq(&Principal::Team("clerks".into()))));
    expect_that!(ring.principal("first"), some(eq(&Principal::Operator)));
    expect_that!(ring.principal("other"), none());
    let other = Keyring::new(&config, Digester::new(b"other"), None);
    expect_that!(other.principal(&key), none());

    let (config, _) = Change::RemoveTeam("clerks".into()).apply(&config, &digester).unwrap();
    expect_that!(config.keys.is_empty(), eq(true));
}

#[gtest]
fn wrong_changes_say_what_is_wrong() {
    let digester = Digester::new(b"secret");
    let config = Config::default();
    let cases = [
        (Change::GrantKey("k".into(), Some("none".into())), Remedy::Find),
        (Change::WithdrawKey("k".into()), Remedy::Find),
        (Change::RemoveTeam("t".into()), Remedy::Find),
    ];
    for (change, remedy) in cases {
        let failure = change.apply(&config, &digester).expect_err("it is wrong");
        expect_that!(failure.remedy, eq(remedy));
    }
    let unnamed = Wanted::RemoveTeam(pb::RemoveTeam { name: "a b".to_owned() });
    let failure = Change::try_from(unnamed).expect_err("the name is wrong");
    expect_that!(failure.reason, contains_substring("remove_team.name"));
    let put = pb::PutPolicy { kind: 1, placement: 0 };
    let failure = Change::try_from(Wanted::PutPolicy(put)).expect_err("there is no placement");
    expect_that!(failure.reason, contains_substring("put_policy.placement"));
}

#[gtest]
fn the_team_furthest_below_its_share_comes_first() {
    let mut usage = Usage::default();
    let whole = size(1000);
    usage.add(&"a".into(), size(300));
    usage.add(&"b".into(), size(400));
    expect_that!(
        usage.weighted_share_ppm("a", 1, &whole),
        lt(usage.weighted_share_ppm("b", 1, &whole))
    );
    expect_that!(
        usage.weighted_share_ppm("a", 1, &whole),
        gt(usage.weighted_share_ppm("b", 2, &whole))
    );
    usage.remove(&"b".into(), size(400));
    expect_that!(usage.weighted_share_ppm("b", 1, &whole), eq(0));
}

/// A look of one region: which one, what it runs, what waits, the limit.
fn looks() -> impl Strategy<Value = Vec<(usize, u32, u32, u32)>> {
    proptest::collection::vec((0..3usize, 0..200u32, 0..200u32, 1..400u32), 1..60)
}

proptest! {
    #[test]
    fn grants_never_grow_beyond_the_limit(looks in looks()) {
        let regions: [Name; 3] = ["a".into(), "b".into(), "c".into()];
        let team = Name::from("team");
        let mut allowances = Allowances::default();
        for (at, used, waiting, limit) in looks {
            let before = allowances.sum(&team);
            // A region runs no more than its grant.
            let used = size(used).min(&allowances.grant(&team, &regions[at]).amount);
            let demand = Demand { used, waiting: size(waiting) };
            allowances.adjust(&team, &regions[at], &size(limit), demand);
            let after = allowances.sum(&team);
            prop_assert!(after.fits(&size(limit)) || after.fits(&before));
            let caps = regions.iter().fold(Resources::ZERO, |sum, region| {
                sum + allowances.cap(&team, region, &size(limit))
            });
            prop_assert!(caps.fits(&size(limit)));
            // What is in use stays granted.
            prop_assert!(used.fits(&allowances.grant(&team, &regions[at]).amount));
        }
    }

    #[test]
    fn no_bytes_make_the_decoders_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Config::decode(&bytes);
        let _ = Allowances::decode(&bytes);
    }
}
