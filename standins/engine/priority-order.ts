/** Order of the engine's queues. */

interface Prioritized {
  readonly command: { readonly priority: number };
}

/** Adds an item behind all that are as urgent; 0 is the most urgent. */
export function addByPriority<Item extends Prioritized>(queue: Item[], item: Item): void {
  const behind = queue.findIndex((other) => other.command.priority > item.command.priority);
  if (behind === -1) queue.push(item);
  else queue.splice(behind, 0, item);
}
