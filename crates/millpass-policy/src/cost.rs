//! Static bounds of a program: depth of its syntax tree, names, functions and worst-case cost.
//!
//! Macros (`all`, `exists`, `map`, ..) are the only loops in programs. Their range must be a list
//! or map literal, so the number of iterations is known statically.

use crate::attributes::VARIABLES;
use cel::common::ast::{CallExpr, ComprehensionExpr, EntryExpr, Expr, IdedExpr};

/// Maximum depth of the syntax tree.
pub const MAXIMUM_DEPTH: usize = 64;
/// Maximum worst-case cost, in evaluated nodes.
pub const MAXIMUM_COST: u64 = 5_000;
/// Maximum nesting of macros.
pub const MAXIMUM_MACRO_NESTING: usize = 2;

/// Cost of a call that reads whole strings, in nodes.
const STRING_CALL_COST: u64 = 4;
/// Supported functions besides operators and macros. Regular expressions are excluded because their
/// cost is not visible in the syntax tree.
const FUNCTIONS: [&str; 8] = [
    "size",
    "contains",
    "startsWith",
    "endsWith",
    "string",
    "int",
    "uint",
    "double",
];

/// A violated bound.
pub(crate) struct Finding {
    /// Id of the node in the source map.
    pub node: u64,
    /// What is wrong.
    pub reason: String,
    /// How to fix it.
    pub remedy: &'static str,
}

/// Checks a whole program and returns its worst-case cost.
pub(crate) fn check(root: &IdedExpr) -> Result<u64, Finding> {
    let mut walk = Walk { scope: Vec::new() };
    let cost = walk.cost(root, 1)?;
    if cost > MAXIMUM_COST {
        return Err(Finding {
            node: root.id,
            reason: format!("its worst-case cost is {cost} steps, over {MAXIMUM_COST}"),
            remedy: "use shorter lists or nest fewer macros",
        });
    }
    Ok(cost)
}

/// Traversal of a syntax tree.
struct Walk {
    /// Variables bound by the enclosing macros.
    scope: Vec<String>,
}

impl Walk {
    fn cost(&mut self, node: &IdedExpr, depth: usize) -> Result<u64, Finding> {
        if depth > MAXIMUM_DEPTH {
            return Err(Finding {
                node: node.id,
                reason: format!("it is nested deeper than {MAXIMUM_DEPTH}"),
                remedy: "split it into several policies",
            });
        }
        let children = match &node.expr {
            Expr::Unspecified | Expr::Literal(_) => 0,
            Expr::Ident(name) => self.check_name(node, name)?,
            Expr::Select(select) => self.cost(&select.operand, depth + 1)?,
            Expr::List(list) => self.sum(list.elements.iter(), depth)?,
            Expr::Map(map) => self.entries(map.entries.iter().map(|entry| &entry.expr), depth)?,
            Expr::Struct(value) => {
                self.entries(value.entries.iter().map(|entry| &entry.expr), depth)?
            }
            Expr::Call(call) => self.call(node, call, depth)?,
            Expr::Comprehension(macro_call) => self.comprehension(macro_call, depth)?,
        };
        Ok(children.saturating_add(1))
    }

    fn sum<'a>(
        &mut self,
        nodes: impl Iterator<Item = &'a IdedExpr>,
        depth: usize,
    ) -> Result<u64, Finding> {
        let mut total = 0u64;
        for node in nodes {
            total = total.saturating_add(self.cost(node, depth + 1)?);
        }
        Ok(total)
    }

    fn entries<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EntryExpr>,
        depth: usize,
    ) -> Result<u64, Finding> {
        let mut total = 0u64;
        for entry in entries {
            let cost = match entry {
                EntryExpr::StructField(field) => self.cost(&field.value, depth + 1)?,
                EntryExpr::MapEntry(pair) => self
                    .cost(&pair.key, depth + 1)?
                    .saturating_add(self.cost(&pair.value, depth + 1)?),
            };
            total = total.saturating_add(cost);
        }
        Ok(total)
    }

    fn check_name(&self, node: &IdedExpr, name: &str) -> Result<u64, Finding> {
        if VARIABLES.contains(&name) || self.scope.iter().any(|bound| bound == name) {
            return Ok(0);
        }
        Err(Finding {
            node: node.id,
            reason: format!("there is no variable `{name}`"),
            remedy: "use tenant, model, adapter, kind or path",
        })
    }

    fn call(&mut self, node: &IdedExpr, call: &CallExpr, depth: usize) -> Result<u64, Finding> {
        let own = if is_operator(&call.func_name) {
            0
        } else if FUNCTIONS.contains(&call.func_name.as_str()) {
            STRING_CALL_COST
        } else {
            return Err(Finding {
                node: node.id,
                reason: format!("there is no function `{}`", call.func_name),
                remedy: "use operators, `in`, has, all, exists, exists_one, map, filter, size, \
                         contains, startsWith, endsWith, string, int, uint or double",
            });
        };
        let target = self.sum(call.target.iter().map(|target| &**target), depth)?;
        let arguments = self.sum(call.args.iter(), depth)?;
        Ok(own.saturating_add(target).saturating_add(arguments))
    }

    fn comprehension(&mut self, call: &ComprehensionExpr, depth: usize) -> Result<u64, Finding> {
        let nested = self.scope.iter().filter(|name| name.is_empty()).count();
        if nested >= MAXIMUM_MACRO_NESTING {
            return Err(Finding {
                node: call.iter_range.id,
                reason: format!("macros are nested deeper than {MAXIMUM_MACRO_NESTING}"),
                remedy: "write the inner list out",
            });
        }
        let rounds = length_bound(&call.iter_range)?;
        let range = self.cost(&call.iter_range, depth + 1)?;
        let start = self.cost(&call.accu_init, depth + 1)?;
        let outer = self.scope.len();
        // An empty name, which no source can contain, marks each level of nesting.
        self.scope.push(String::new());
        self.scope.push(call.iter_var.clone());
        self.scope.extend(call.iter_var2.clone());
        self.scope.push(call.accu_var.clone());
        let condition = self.cost(&call.loop_cond, depth + 1)?;
        let step = self.cost(&call.loop_step, depth + 1)?;
        let result = self.cost(&call.result, depth + 1)?;
        self.scope.truncate(outer);
        let round = condition.saturating_add(step);
        let total = rounds.saturating_mul(round).saturating_add(range);
        Ok(total.saturating_add(start).saturating_add(result))
    }
}

/// Operators have names that no source can contain, such as `_&&_`, `!_` or `@in`.
fn is_operator(name: &str) -> bool {
    name.contains(['_', '@']) && !name.starts_with(char::is_alphabetic)
}

/// Returns the maximum number of elements in a macro's range.
fn length_bound(range: &IdedExpr) -> Result<u64, Finding> {
    match &range.expr {
        Expr::List(list) => Ok(list.elements.len() as u64),
        Expr::Map(map) => Ok(map.entries.len() as u64),
        Expr::Comprehension(inner) => length_bound(&inner.iter_range),
        _ => Err(Finding {
            node: range.id,
            reason: "a macro ranges over something that is not a written list".to_owned(),
            remedy: "write the list or map out in the program",
        }),
    }
}
