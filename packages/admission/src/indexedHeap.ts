/**
 * Binary min-heap whose items can be moved or removed by identity, each in
 * logarithmic time. Among equal keys, the item that was added first comes first.
 */

interface Entry<Item> {
  readonly item: Item
  key: number
  readonly order: number
  position: number
}

const isBefore = <Item>(first: Entry<Item>, second: Entry<Item>): boolean =>
  first.key < second.key || (first.key === second.key && first.order < second.order)

export class IndexedHeap<Item> {
  private readonly heap: Array<Entry<Item>> = []
  private readonly entries = new Map<Item, Entry<Item>>()
  private nextOrder = 0

  get size (): number {
    return this.heap.length
  }

  has (item: Item): boolean {
    return this.entries.has(item)
  }

  peek (): Item | undefined {
    return this.heap[0]?.item
  }

  peekKey (): number | undefined {
    return this.heap[0]?.key
  }

  /** Adds an item, or changes the key of an existing one. */
  set (item: Item, key: number): void {
    const existing = this.entries.get(item)
    if (existing === undefined) return this.add(item, key)
    const movesUp = key < existing.key
    existing.key = key
    if (movesUp) this.siftUp(existing)
    else this.siftDown(existing)
  }

  remove (item: Item): boolean {
    const entry = this.entries.get(item)
    if (entry === undefined) return false
    this.entries.delete(item)
    const last = this.heap.pop()
    if (last === undefined || last === entry) return true
    this.place(last, entry.position)
    this.siftUp(last)
    this.siftDown(last)
    return true
  }

  pop (): Item | undefined {
    const item = this.peek()
    if (item !== undefined) this.remove(item)
    return item
  }

  private add (item: Item, key: number): void {
    const entry = { item, key, order: this.nextOrder, position: this.heap.length }
    this.nextOrder += 1
    this.heap.push(entry)
    this.entries.set(item, entry)
    this.siftUp(entry)
  }

  private siftUp (entry: Entry<Item>): void {
    while (entry.position > 0) {
      const parent = this.heap[(entry.position - 1) >> 1]
      if (parent === undefined || !isBefore(entry, parent)) return
      this.swap(entry, parent)
    }
  }

  private siftDown (entry: Entry<Item>): void {
    for (;;) {
      const child = this.smallerChild(entry.position)
      if (child === undefined || !isBefore(child, entry)) return
      this.swap(entry, child)
    }
  }

  private smallerChild (position: number): Entry<Item> | undefined {
    const left = this.heap[2 * position + 1]
    const right = this.heap[2 * position + 2]
    return right !== undefined && left !== undefined && isBefore(right, left) ? right : left
  }

  private swap (first: Entry<Item>, second: Entry<Item>): void {
    const position = first.position
    this.place(first, second.position)
    this.place(second, position)
  }

  private place (entry: Entry<Item>, position: number): void {
    entry.position = position
    this.heap[position] = entry
  }
}
