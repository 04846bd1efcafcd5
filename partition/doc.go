// Package partition decides which node owns a partition.
package partition
