"""Where the keys of a file stand: their lines, by path, from the syntax trees of TOML and JSON.

Needs the tree-sitter libraries, which the relay itself does without.
"""

from __future__ import annotations

import ast
import json

import tree_sitter_json
import tree_sitter_toml
from tree_sitter import Language, Node, Parser

TOML, JSON = Language(tree_sitter_toml.language()), Language(tree_sitter_json.language())
DEPTH_MOST = 50  # of a table within tables; nothing in the model lies deeper


def lines_of(text: str, toml: bool) -> dict[str, int]:
    """The line, from 1, of each key and row, by its path: `products[0].sla_time`."""
    tree, lines = Parser(TOML if toml else JSON).parse(text.encode()), {}
    if toml:
        _toml(tree.root_node, lines)
    elif tree.root_node.named_children:
        _json(tree.root_node.named_children[0], "", lines, 0)
    return lines


def _mark(lines: dict[str, int], path: str, node: Node) -> None:
    lines.setdefault(path, node.start_point[0] + 1)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _json(node: Node, path: str, lines: dict[str, int], depth: int) -> None:
    if depth > DEPTH_MOST:
        return
    if node.type == "object":
        for pair in node.named_children:
            key, value = pair.child_by_field_name("key"), pair.child_by_field_name("value")
            if key is not None and value is not None:
                at = _join(path, str(json.loads(key.text)))
                _mark(lines, at, pair)
                _json(value, at, lines, depth + 1)
    elif node.type == "array":
        for number, each in enumerate(node.named_children):
            _mark(lines, f"{path}[{number}]", each)
            _json(each, f"{path}[{number}]", lines, depth + 1)


def _names(node: Node) -> list[str]:
    """The names in a key of TOML, dotted or plain."""
    if node.type == "dotted_key":
        return [name for each in node.named_children for name in _names(each)]
    word = node.text.decode()
    return [str(ast.literal_eval(word)) if word[:1] in "\"'" else word]


def _toml(root: Node, lines: dict[str, int]) -> None:
    rows: dict[str, int] = {}
    for node in root.named_children:
        if node.type == "pair":
            _pair(node, "", lines, 0)
        elif node.type in ("table", "table_array_element") and node.named_children:
            path = ""
            for name in _names(node.named_children[0]):
                path = _join(path, name)
                if path in rows:  # a table within the last row
                    path = f"{path}[{rows[path]}]" if node.type == "table" else path
            if node.type == "table_array_element":
                _mark(lines, path, node)
                rows[path] = rows.get(path, -1) + 1
                path = f"{path}[{rows[path]}]"
            _mark(lines, path, node)
            for pair in node.named_children[1:]:
                if pair.type == "pair":
                    _pair(pair, path, lines, 0)


def _pair(node: Node, path: str, lines: dict[str, int], depth: int) -> None:
    key, value = node.named_children[0], node.named_children[-1]
    for name in _names(key):
        path = _join(path, name)
        _mark(lines, path, node)
    _value(value, path, lines, depth)


def _value(node: Node, path: str, lines: dict[str, int], depth: int) -> None:
    if depth > DEPTH_MOST:
        return
    if node.type == "inline_table":
        for pair in node.named_children:
            if pair.type == "pair":
                _pair(pair, path, lines, depth + 1)
    elif node.type == "array":
        for number, each in enumerate(each for each in node.named_children if each.type != "comment"):
            _mark(lines, f"{path}[{number}]", each)
            _value(each, f"{path}[{number}]", lines, depth + 1)
