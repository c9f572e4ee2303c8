/**
 * Groups items by key. The groups are in the order of their first items, and
 * each group keeps the order of its items.
 */

export const groupBy = <Key, Item>(items: Iterable<Item>, keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> => {
  const groups = new Map<Key, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
