package capacity

import _ "github.com/bambooscale/bambooscale/internal/singlecpu" // tests in synctest bubbles
