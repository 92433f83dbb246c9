/** Lists the names of functions and methods in source text. */
import * as ts from "typescript";

/** A function or method in the source. */
export interface NamedFunction {
  readonly name: string;
  readonly file: string;
  /** Line, from 1. */
  readonly line: number;
}

/**
 * Lists functions, methods of classes and interfaces, and constants that hold a function.
 *
 * Left out: keys of lookup tables, accessors, constructors, symbols and the iterator protocol.
 */
export function listFunctions(file: string, text: string): NamedFunction[] {
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
  const found: NamedFunction[] = [];
  const addFrom = (node: ts.Node): void => {
    const name = findName(node);
    if (name !== undefined && !PROTOCOL_METHODS.has(name)) {
      const { line } = source.getLineAndCharacterOfPosition(node.getStart(source));
      found.push({ name, file, line: line + 1 });
    }
    ts.forEachChild(node, addFrom);
  };
  addFrom(source);
  return found;
}

/** Methods that the language's iterators and streams and the HTTP library's agent name. */
const PROTOCOL_METHODS: ReadonlySet<string> = new Set([
  "next",
  "return",
  "throw",
  "keepSocketAlive",
  "reuseSocket",
  "_write",
  "_final",
]);

/** Returns whether a name begins with one of the verbs, as a whole word. */
export function hasVerb(name: string, verbs: ReadonlySet<string>): boolean {
  const [first = ""] = name.replace(/^#/, "").split(/(?=[A-Z])/);
  return verbs.has(first);
}

function findName(node: ts.Node): string | undefined {
  if (ts.isFunctionDeclaration(node)) return node.name?.text;
  if (ts.isMethodDeclaration(node) || ts.isMethodSignature(node)) return findText(node.name);
  if (!ts.isVariableDeclaration(node) || node.initializer === undefined) return undefined;
  const isFunction =
    ts.isArrowFunction(node.initializer) || ts.isFunctionExpression(node.initializer);
  return isFunction ? findText(node.name) : undefined;
}

function findText(name: ts.Node): string | undefined {
  return ts.isIdentifier(name) || ts.isPrivateIdentifier(name) ? name.text : undefined;
}
