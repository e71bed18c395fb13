//! The order of the parts of `src/`: which folder may use which, no circle of imports between
//! files, and what the decision module and the life of a message must not name.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use syn::visit::Visit;
use syn::{Item, ItemMod, UseTree};

/// Each part of the library and the parts that it may use. The crate's root re-exports the
/// interface of `dispatch`.
const MAY_USE: [(&str, &[&str]); 16] = [
    ("store", &[]),
    ("dispatch", &[]),
    ("durable_file", &[]),
    ("event_loop", &[]),
    ("log_filter", &[]),
    ("loop_latency", &[]),
    ("process_signals", &[]),
    (PLATFORM_SETTINGS, &["dispatch"]),
    ("admission_control", &["store"]),
    ("delivery", &["admission_control", "dispatch", "store"]),
    ("memory_report", &["admission_control", "delivery", "net"]),
    ("message_trace", &["delivery"]),
    (
        "net",
        &[
            "admission_control",
            "delivery",
            "dispatch",
            "durable_file",
            PLATFORM_SETTINGS,
        ],
    ),
    (
        "config",
        &[
            "admission_control",
            "delivery",
            "dispatch",
            "net",
            PLATFORM_SETTINGS,
        ],
    ),
    (
        "coordination",
        &["config", "delivery", "dispatch", "process_signals", "store"],
    ),
    (
        "agent",
        &[
            "config",
            "coordination",
            "delivery",
            "dispatch",
            "durable_file",
            "store",
        ],
    ),
];

/// What the platform's JSON says; below the wires, which take destinations and tenants from it.
const PLATFORM_SETTINGS: &str = "config::platform_settings";

/// A module as its path from the crate's root, such as `["delivery", "journal"]`.
type ModulePath = Vec<String>;

/// Every Rust file below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder of the sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files.extend(sources(&path));
        } else {
            files.push(path);
        }
    }
    files.sort();
    files
}

/// The module that a file of the library is, or nothing for a program's file or a test's.
fn module_of(file: &Path) -> Option<ModulePath> {
    let relative = file
        .strip_prefix("src")
        .expect("below src")
        .with_extension("");
    let mut path: ModulePath = relative
        .iter()
        .map(|part| part.to_string_lossy().into_owned())
        .collect();
    let is_program = matches!(path[0].as_str(), "main" | "cli" | "bin" | "lib" | "sender");
    if is_program || path.last().is_some_and(|name| name == "tests") {
        return None;
    }
    if path.last().is_some_and(|name| name == "mod") {
        path.pop();
    }
    Some(path)
}

/// Collects the paths that a module names, each from the crate's root.
struct UsedPaths<'a> {
    module: &'a ModulePath,
    found: BTreeSet<ModulePath>,
}

impl UsedPaths<'_> {
    fn add(&mut self, path: &[String]) {
        match path.first().map(String::as_str) {
            Some("crate") => _ = self.found.insert(path[1..].to_vec()),
            Some("super") => {
                let above = &self.module[..self.module.len().saturating_sub(1)];
                self.found.insert([above, &path[1..]].concat());
            }
            _ => {}
        }
    }

    fn add_use(&mut self, tree: &UseTree, before: &[String]) {
        match tree {
            UseTree::Path(path) => {
                let before = [before, &[path.ident.to_string()]].concat();
                self.add_use(&path.tree, &before);
            }
            UseTree::Name(name) => self.add(&[before, &[name.ident.to_string()]].concat()),
            UseTree::Rename(name) => self.add(&[before, &[name.ident.to_string()]].concat()),
            UseTree::Glob(_) => self.add(before),
            UseTree::Group(group) => {
                for tree in &group.items {
                    self.add_use(tree, before);
                }
            }
        }
    }
}

impl<'ast> Visit<'ast> for UsedPaths<'_> {
    fn visit_item_mod(&mut self, _inline: &'ast ItemMod) {
        // Modules in files are read by themselves; inline ones hold tests.
    }

    fn visit_item_use(&mut self, item: &'ast syn::ItemUse) {
        self.add_use(&item.tree, &[]);
    }

    fn visit_path(&mut self, path: &'ast syn::Path) {
        let segments: Vec<String> = path.segments.iter().map(|s| s.ident.to_string()).collect();
        self.add(&segments);
        syn::visit::visit_path(self, path);
    }
}

/// Each module of the library and the other modules that it uses.
fn imports() -> BTreeMap<ModulePath, BTreeSet<ModulePath>> {
    let files = sources(Path::new("src"));
    let modules: BTreeMap<ModulePath, &PathBuf> = files
        .iter()
        .filter_map(|file| Some((module_of(file)?, file)))
        .collect();
    let mut imports = BTreeMap::new();
    for (module, file) in &modules {
        let text = fs::read_to_string(file).expect("text");
        let parsed = syn::parse_file(&text).expect("Rust");
        let mut used = UsedPaths {
            module,
            found: BTreeSet::new(),
        };
        for item in &parsed.items {
            if !matches!(item, Item::Mod(_)) {
                used.visit_item(item);
            }
        }
        let targets = used.found.iter().filter_map(|path| {
            let named = (1..=path.len()).rev().map(|n| &path[..n]);
            let known = named.into_iter().find(|p| modules.contains_key(*p));
            match known {
                Some(known) => Some(known.to_vec()),
                None if module[0] == "dispatch" => None,
                None => Some(vec!["dispatch".into(), "api".into()]),
            }
        });
        let targets: BTreeSet<ModulePath> = targets.filter(|target| target != module).collect();
        imports.insert(module.clone(), targets);
    }
    imports
}

/// The part that a module belongs to.
fn part(module: &ModulePath) -> String {
    let path = module.join("::");
    if path.starts_with(PLATFORM_SETTINGS) {
        PLATFORM_SETTINGS.into()
    } else {
        module[0].clone()
    }
}

/// Modules from which a path of imports leads back to them. A module and those in its folder are
/// one thing to this: they may use each other.
fn in_a_cycle(imports: &BTreeMap<ModulePath, BTreeSet<ModulePath>>) -> Vec<String> {
    let imports: BTreeMap<&ModulePath, Vec<&ModulePath>> = imports
        .iter()
        .map(|(module, targets)| {
            let others = targets
                .iter()
                .filter(|target| !target.starts_with(module) && !module.starts_with(target));
            (module, others.collect())
        })
        .collect();
    let leads_back = |start: &ModulePath| {
        let mut seen = BTreeSet::new();
        let mut open: Vec<&ModulePath> = imports[start].clone();
        while let Some(module) = open.pop() {
            if module == start {
                return true;
            }
            if seen.insert(module) {
                open.extend(&imports[module]);
            }
        }
        false
    };
    let cyclic = imports.keys().filter(|module| leads_back(module));
    cyclic.map(|module| module.join("::")).collect()
}

#[test]
fn each_part_uses_only_the_parts_below_it() {
    let may_use: BTreeMap<&str, &[&str]> = MAY_USE.into();
    let imports = imports();
    assert!(imports.len() > 100, "only {} modules read", imports.len());
    for (module, targets) in &imports {
        let own = part(module);
        let allowed = may_use
            .get(own.as_str())
            .unwrap_or_else(|| panic!("{own} has no place in MAY_USE"));
        for target in targets {
            let other = part(target);
            assert!(
                other == own || allowed.contains(&other.as_str()),
                "{} uses {}",
                module.join("::"),
                target.join("::")
            );
        }
    }
}

#[test]
fn no_file_imports_itself_by_way_of_others() {
    assert_eq!(in_a_cycle(&imports()), Vec::<String>::new());
}

#[test]
fn delivery_names_no_wire() {
    let files = sources(Path::new("src/delivery"));
    for path in &files {
        let text = fs::read_to_string(path).expect("text").to_lowercase();
        for word in [
            "http",
            "mqtt",
            "dns",
            "crate::net",
            "tcp",
            "platform",
            "broker",
            "publish",
            "config",
        ] {
            let line = text.lines().position(|l| l.contains(word));
            assert_eq!(line, None, "{path:?} names {word}");
        }
    }
    assert!(files.len() >= 6);
}

/// The modules of the decision module; each names only those before it.
const DISPATCH: [&str; 12] = [
    "routing",
    "api",
    "statistics",
    "deadline",
    "slow_start",
    "stale_connections",
    "rate_quota",
    "rate_control",
    "endpoint_health",
    "list_polling",
    "state",
    "dispatcher",
];

/// The files of one module: its own, and those in its folder.
fn files_of(module: &str) -> Vec<PathBuf> {
    let file = PathBuf::from(format!("src/dispatch/{module}.rs"));
    let folder = format!("src/dispatch/{module}");
    let mut files = if Path::new(&folder).is_dir() {
        sources(Path::new(&folder))
    } else {
        Vec::new()
    };
    files.extend(file.exists().then_some(file));
    files
}

#[test]
fn dispatch_names_no_socket_and_no_other_part_and_has_no_import_cycle() {
    let mut seen = 0;
    for (n, module) in DISPATCH.iter().enumerate() {
        let files = files_of(module);
        assert!(!files.is_empty(), "{module} has no file");
        seen += files.len();
        for path in files {
            let text = fs::read_to_string(&path).expect("text");
            for word in [
                "crate::delivery",
                "crate::net",
                "std::net",
                "async",
                "std::time",
            ] {
                assert!(!text.contains(word), "{path:?} names {word}");
            }
            for later in &DISPATCH[n + 1..] {
                assert!(
                    !text.contains(&format!("crate::dispatch::{later}::")),
                    "{path:?} names {later}"
                );
            }
        }
    }
    // All but `mod.rs` belong to one of them.
    assert_eq!(seen + 1, sources(Path::new("src/dispatch")).len());
}
